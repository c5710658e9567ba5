package baobabcroft;

import baobabcroft.serve.ServeCommand;
import java.nio.file.Path;

/** The router's single executable. */
public final class Main {
    private Main() {}

    /**
     * Runs the command that the arguments name.
     *
     * @param args command-line arguments
     */
    public static void main(String[] args) {
        System.exit(ServeCommand.run(Path.of(args[2]), System.err));
    }
}
