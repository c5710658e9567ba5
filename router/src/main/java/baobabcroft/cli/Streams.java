package baobabcroft.cli;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.PrintStream;

/**
 * Where a command writes.
 *
 * @param out results
 * @param err faults and refusals
 */
public record Streams(PrintStream out, PrintStream err) {
    /** Checks the streams. */
    public Streams {
        checkNotNull(out);
        checkNotNull(err);
    }
}
