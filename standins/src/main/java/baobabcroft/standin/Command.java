package baobabcroft.standin;

import java.io.PrintStream;

/** A command of the stand-ins executable. */
@FunctionalInterface
public interface Command {
    /**
     * Runs the command.
     *
     * @param args the arguments after the command's name
     * @param out where results go
     * @throws Exception if the arguments are wrong or the command fails
     */
    void run(String[] args, PrintStream out) throws Exception;
}
