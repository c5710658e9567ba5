package baobabcroft.relay;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Optional;

/** Header lines in their order. Immutable. */
public final class Headers {
    /** No header lines. */
    public static final Headers EMPTY = new Headers(ImmutableList.of());

    private final ImmutableList<Header> lines;

    private Headers(ImmutableList<Header> lines) {
        this.lines = lines;
    }

    /**
     * Returns headers of the given lines.
     *
     * @param lines the lines
     * @return the headers
     */
    public static Headers copyOf(Collection<Header> lines) {
        return new Headers(ImmutableList.copyOf(lines));
    }

    /**
     * Returns the lines.
     *
     * @return the lines in their order
     */
    public ImmutableList<Header> lines() {
        return lines;
    }

    /**
     * Returns the value of the first line of a name.
     *
     * @param name the name, in any case
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
     * Returns how many lines have a name.
     *
     * @param name the name, in any case
     * @return the count
     */
    public int count(String name) {
        int count = 0;
        for (Header line : lines) {
            count += line.name().equalsIgnoreCase(name) ? 1 : 0;
        }
        return count;
    }
}
