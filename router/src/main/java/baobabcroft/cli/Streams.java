package baobabcroft.cli;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.PrintStream;

/**
 * Output streams of a command.
 *
 * @param out receives results
 * @param err receives errors and warnings
 */
public record Streams(PrintStream out, PrintStream err) {
    /** Checks that neither stream is null. */
    public Streams {
        checkNotNull(out);
        checkNotNull(err);
    }
}
