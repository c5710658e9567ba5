package baobabcroft.rules;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Optional;

/**
 * Name of one version of one model, written {@code model@version}.
 *
 * @param model the model's name
 * @param version the version's name
 */
public record VersionId(String model, String version) implements Comparable<VersionId> {
    /** Checks the parts. */
    public VersionId {
        checkArgument(!model.isEmpty() && model.indexOf('@') < 0, "bad model name: '%s'", model);
        checkArgument(!version.isEmpty() && version.indexOf('@') < 0, "bad version name: '%s'", version);
    }

    /**
     * Returns the version that a text names.
     *
     * @param text for example {@code film-small@2}
     * @return the version, or empty if the text is not of this form
     */
    public static Optional<VersionId> parse(String text) {
        int at = text.indexOf('@');
        if (at <= 0 || at != text.lastIndexOf('@') || at == text.length() - 1) {
            return Optional.empty();
        }
        return Optional.of(new VersionId(text.substring(0, at), text.substring(at + 1)));
    }

    @Override
    public int compareTo(VersionId other) {
        int byModel = model.compareTo(other.model);
        return byModel != 0 ? byModel : version.compareTo(other.version);
    }

    @Override
    public String toString() {
        return model + "@" + version;
    }
}
