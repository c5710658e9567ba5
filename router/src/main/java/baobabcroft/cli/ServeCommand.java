package baobabcroft.cli;

import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.settings.Settings;
import baobabcroft.settings.SettingsException;
import baobabcroft.settings.SettingsFault;
import java.nio.file.Path;

/** The command {@code serve}, which runs an instance. */
final class ServeCommand {
    private static final String SETTINGS = "settings";
    private static final EventLog LOG = EventLog.of(ServeCommand.class);

    private ServeCommand() {}

    static Command create(ServeAction action) {
        return new Command(
                "serve",
                "--settings FILE",
                "run an instance until it is told to stop",
                """
                Every key of the settings file is listed in docs/SETTINGS.md; examples/ has a file for each instance of
                two deployments. The log goes to standard error. SIGTERM, or the command 'drain', starts a planned
                stop, which cuts off no request.""",
                0,
                0,
                parser -> parser.accepts(SETTINGS, "settings file, in JSON")
                        .withRequiredArg()
                        .describedAs("FILE")
                        .required(),
                invocation -> run(invocation, action));
    }

    private static int run(Invocation invocation, ServeAction action) {
        Settings settings;
        try {
            settings = Settings.load(Path.of(invocation.option(SETTINGS).orElseThrow()));
        } catch (SettingsException e) {
            for (SettingsFault fault : e.faults()) {
                LOG.log(LogEvent.SETTINGS_INVALID, fault);
            }
            return e.exitStatus();
        }
        return action.serve(settings);
    }
}
