package baobabcroft.settings;

/**
 * A fault of a settings file.
 *
 * @param path path of the JSON value, as {@code listen.callers}; empty for the whole file
 * @param problem what is wrong and what is expected
 */
public record SettingsFault(String path, String problem) {
    @Override
    public String toString() {
        return path.isEmpty() ? problem : path + ": " + problem;
    }
}
