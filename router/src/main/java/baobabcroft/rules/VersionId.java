package baobabcroft.rules;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Optional;

/**
 * Identifier of one version of a model, written {@code model@version}. Immutable; ordered by model, then by version.
 *
 * @param model the model's name; not empty, without {@code @}
 * @param version the version's name within the model; not empty, without {@code @}
 */
public record VersionId(String model, String version) implements Comparable<VersionId> {
    /**
     * Checks both names.
     *
     * @throws IllegalArgumentException if a name is empty or contains {@code @}
     */
    public VersionId {
        checkArgument(!model.isEmpty() && model.indexOf('@') < 0, "invalid model name: '%s'", model);
        checkArgument(!version.isEmpty() && version.indexOf('@') < 0, "invalid version name: '%s'", version);
    }

    /**
     * Returns the version identifier that a text holds.
     *
     * @param text for example {@code film-small@2}
     * @return the identifier, or empty if the text is not of the form {@code model@version}
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
