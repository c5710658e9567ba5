package baobabcroft.feed;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.io.ByteStreams;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** Compression of bytes in zlib format. */
final class Compression {
    /** More than the store's contents; a longer result is rejected before it takes memory. */
    private static final int MAX_DECOMPRESSED_BYTES = 32 << 20;

    private Compression() {}

    static ByteString compress(ByteString plain) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        ByteString.Output compressed = ByteString.newOutput();
        try (DeflaterOutputStream output = new DeflaterOutputStream(compressed, deflater)) {
            plain.writeTo(output);
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        } finally {
            deflater.end();
        }
        return compressed.toByteString();
    }

    /**
     * Returns the plain bytes.
     *
     * @throws IllegalArgumentException if the bytes are not in zlib format or the result is too long
     */
    static ByteString decompress(ByteString compressed) {
        try (InputStream input = new InflaterInputStream(compressed.newInput())) {
            ByteString plain = ByteString.readFrom(ByteStreams.limit(input, MAX_DECOMPRESSED_BYTES + 1L));
            checkArgument(plain.size() <= MAX_DECOMPRESSED_BYTES, "more than %s bytes", MAX_DECOMPRESSED_BYTES);
            return plain;
        } catch (IOException malformed) {
            throw new IllegalArgumentException("not in zlib format", malformed);
        }
    }
}
