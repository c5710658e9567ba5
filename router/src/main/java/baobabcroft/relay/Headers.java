package baobabcroft.relay;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Optional;

/** An ordered list of header lines, in which names may repeat. Immutable. */
public final class Headers {
    /** No header lines. */
    public static final Headers EMPTY = new Headers(ImmutableList.of());

    private final ImmutableList<Header> lines;

    private Headers(ImmutableList<Header> lines) {
        this.lines = lines;
    }

    /**
     * Returns headers with the given lines.
     *
     * @param lines the lines in order
     * @return the headers
     */
    public static Headers copyOf(Collection<Header> lines) {
        return new Headers(ImmutableList.copyOf(lines));
    }

    /**
     * Returns all header lines.
     *
     * @return the lines in order
     */
    public ImmutableList<Header> lines() {
        return lines;
    }

    /**
     * Returns the value of the first line with a name.
     *
     * @param name the name; case is ignored
     * @return the value, or empty if there is no such line
     */
    public Optional<String> first(String name) {
        for (Header line : lines) {
            if (line.name().equalsIgnoreCase(name)) {
                return Optional.of(line.value());
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the number of lines with a name.
     *
     * @param name the name; case is ignored
     * @return the count, 0 if there is no such line
     */
    public int count(String name) {
        int count = 0;
        for (Header line : lines) {
            count += line.name().equalsIgnoreCase(name) ? 1 : 0;
        }
        return count;
    }
}
