package baobabcroft.standin;

import java.io.PrintStream;

/** Subcommand of the stand-ins executable. */
@FunctionalInterface
public interface Command {
    /**
     * Runs the command.
     *
     * @param args the arguments after the command's name
     * @param out the stream for results
     * @throws Exception if the arguments are invalid or the command fails
     */
    void run(String[] args, PrintStream out) throws Exception;
}
