package baobabcroft.peer;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;

/** Creates and verifies HMAC proofs that a side of a connection has the shared key. Thread-safe. */
final class PeerAuthenticator {
    private static final int NONCE_BYTES = 16;
    private static final int MIN_KEY_BYTES = 16;

    private final HashFunction hmac;
    private final SecureRandom random;

    /**
     * Side of the connection that creates a proof. The name is part of the signed data, so that a proof of one side is
     * not valid for the other; the names must not change.
     */
    enum Side {
        OPENER,
        LISTENER
    }

    /** Names and nonces of both sides, which a proof covers. */
    record Transcript(String opener, ByteString openerNonce, String listener, ByteString listenerNonce) {}

    PeerAuthenticator(byte[] sharedKey, SecureRandom random) {
        checkArgument(
                sharedKey.length >= MIN_KEY_BYTES, "shared key must have at least 16 bytes, had %s", sharedKey.length);
        this.hmac = Hashing.hmacSha256(sharedKey.clone());
        this.random = checkNotNull(random);
    }

    ByteString nonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        return ByteString.copyFrom(nonce);
    }

    ByteString proof(Side side, Transcript transcript) {
        Hasher hasher = hmac.newHasher();
        hasher.putInt(PeerCodec.PROTOCOL_VERSION);
        put(hasher, side.name().getBytes(StandardCharsets.UTF_8));
        put(hasher, transcript.opener().getBytes(StandardCharsets.UTF_8));
        put(hasher, transcript.openerNonce().toByteArray());
        put(hasher, transcript.listener().getBytes(StandardCharsets.UTF_8));
        put(hasher, transcript.listenerNonce().toByteArray());
        return ByteString.copyFrom(hasher.hash().asBytes());
    }

    boolean verify(Side side, Transcript transcript, ByteString proof) {
        byte[] expected = proof(side, transcript).toByteArray();
        return MessageDigest.isEqual(expected, proof.toByteArray());
    }

    private static void put(Hasher hasher, byte[] part) {
        hasher.putInt(part.length);
        hasher.putBytes(part);
    }
}
