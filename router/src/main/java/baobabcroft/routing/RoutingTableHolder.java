package baobabcroft.routing;

import java.util.Optional;

/** Holder of the current routing table of an instance. Its version only increases. Not thread-safe. */
public final class RoutingTableHolder {
    private Optional<RoutingTable> current = Optional.empty();

    /** Creates a holder without a table. */
    public RoutingTableHolder() {}

    /**
     * Replaces the current table if the given one has a greater version.
     *
     * @param table the table to apply
     * @return whether the table was replaced
     */
    public boolean updateIfNewer(RoutingTable table) {
        if (current.isPresent() && current.get().version() >= table.version()) {
            return false;
        }
        current = Optional.of(table);
        return true;
    }

    /**
     * Returns the current table.
     *
     * @return the table with the greatest version so far, or empty before the first
     */
    public Optional<RoutingTable> current() {
        return current;
    }
}
