package baobabcroft.settings;

/**
 * A fault in a settings file.
 *
 * @param path path of the JSON value, such as {@code listen.callers}; empty for the whole file
 * @param problem description of the fault and of the expected value
 */
public record SettingsFault(String path, String problem) {
    @Override
    public String toString() {
        return path.isEmpty() ? problem : path + ": " + problem;
    }
}
