package baobabcroft.routing;

import java.util.Optional;

/** The routing table that an instance goes by. Moves forward only. Not thread-safe. */
public final class RoutingTableHolder {
    private Optional<RoutingTable> current = Optional.empty();

    /** Creates an instance's state before it has read any configuration. */
    public RoutingTableHolder() {}

    /**
     * Puts a table in force unless it is older than the present one.
     *
     * @param table the table read
     * @return whether it is in force now and was not before
     */
    public boolean updateIfNewer(RoutingTable table) {
        if (current.isPresent() && current.get().version() >= table.version()) {
            return false;
        }
        current = Optional.of(table);
        return true;
    }

    /**
     * Returns the table in force.
     *
     * @return the newest table offered, or empty before the first
     */
    public Optional<RoutingTable> current() {
        return current;
    }
}
