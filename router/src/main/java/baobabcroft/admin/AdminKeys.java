package baobabcroft.admin;

import baobabcroft.settings.Settings;
import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;

/** Bearer keys of the operators, held as SHA-256 hashes. Immutable and thread-safe. */
public final class AdminKeys {
    private static final String BEARER = "Bearer ";

    private final ImmutableList<Entry> entries;

    @SuppressWarnings("ArrayRecordComponent")
    private record Entry(String name, byte[] sha256) {}

    private AdminKeys(ImmutableList<Entry> entries) {
        this.entries = entries;
    }

    /**
     * Returns the operators' keys from the settings.
     *
     * @param keys name and hash of each key; if there are none, no operator is ever found
     * @return the keys
     */
    public static AdminKeys of(List<Settings.AdminKey> keys) {
        return new AdminKeys(keys.stream()
                .map(key ->
                        new Entry(key.name(), BaseEncoding.base16().lowerCase().decode(key.sha256())))
                .collect(ImmutableList.toImmutableList()));
    }

    /**
     * Returns the operator whose key an {@code Authorization} header carries. Compares with every key in constant time,
     * so that the response time does not reveal which key matched.
     *
     * @param authorization value of the header
     * @return the operator's name, or empty if the header has no bearer key or the key is unknown
     */
    Optional<String> operatorOf(String authorization) {
        if (!authorization.regionMatches(true, 0, BEARER, 0, BEARER.length())) {
            return Optional.empty();
        }
        String key = authorization.substring(BEARER.length()).strip();
        byte[] sha256 = Hashing.sha256().hashString(key, StandardCharsets.UTF_8).asBytes();
        List<String> matches = entries.stream()
                .filter(entry -> MessageDigest.isEqual(entry.sha256(), sha256))
                .map(Entry::name)
                .toList();
        return matches.stream().findFirst();
    }
}
