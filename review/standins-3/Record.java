import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to a file, with the time since the start. Thread-safe. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Returns the seconds since the start. */
    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void line(String text) {
        out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), text);
    }

    /** Writes a line to the file and to standard output. */
    void report(String text) {
        line(text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
