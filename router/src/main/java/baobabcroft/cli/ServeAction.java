package baobabcroft.cli;

import baobabcroft.settings.Settings;

/** Action of the command {@code serve}. */
@FunctionalInterface
public interface ServeAction {
    /**
     * Runs an instance and returns when it has stopped.
     *
     * @param settings the instance's validated settings
     * @return the exit status of the process
     */
    int serve(Settings settings);
}
