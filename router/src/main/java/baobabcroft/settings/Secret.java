package baobabcroft.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.annotation.JsonCreator;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/** A string that must not appear in logs; {@link #toString} hides it. Immutable and thread-safe. */
public final class Secret {
    private final String text;

    private Secret(String text) {
        this.text = checkNotNull(text);
    }

    /**
     * Returns a secret.
     *
     * @param text the secret text
     * @return a secret with this text
     */
    @JsonCreator
    public static Secret of(String text) {
        return new Secret(text);
    }

    /**
     * Returns the secret text, which must not be logged.
     *
     * @return the text
     */
    public String reveal() {
        return text;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Secret secret && MessageDigest.isEqual(bytes(), secret.bytes());
    }

    @Override
    public int hashCode() {
        return text.hashCode();
    }

    private byte[] bytes() {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public String toString() {
        return "(secret)";
    }
}
