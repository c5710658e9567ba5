package baobabcroft.cli;

import baobabcroft.settings.Settings;

/** Runs an instance until it is stopped. */
@FunctionalInterface
public interface ServeAction {
    /**
     * Runs an instance.
     *
     * @param settings its settings
     * @return the status that the process exits with
     */
    int serve(Settings settings);
}
