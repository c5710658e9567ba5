package baobabcroft;

import baobabcroft.cli.CommandLine;
import baobabcroft.cli.Streams;
import baobabcroft.serve.InstanceProcess;
import java.util.Optional;

/** Entry point of the router's executable. */
public final class Main {
    private static final String DEVELOPMENT = "development";

    private Main() {}

    /**
     * Runs the command given by the arguments and exits the process with its status.
     *
     * @param args command-line arguments, starting with the command
     */
    public static void main(String[] args) {
        String version = Optional.ofNullable(Main.class.getPackage().getImplementationVersion())
                .orElse(DEVELOPMENT);
        CommandLine commandLine = CommandLine.create(settings -> InstanceProcess.run(settings, System.err), version);
        System.exit(commandLine.run(args, new Streams(System.out, System.err)));
    }
}
