package baobabcroft.membership;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The instances over which majorities are counted, from the platform's live list, which may be out of date.
 *
 * <p>The base contains every instance that was listed since the last read of the store, or within the list's lag before
 * it. Without the store the base only grows, so that a network partition cannot reduce the majority. Instances first
 * listed within that time are recent: other instances may not have seen them yet, so each adds half a vote to the
 * required size. Any two majorities therefore overlap, although their bases differ. Thread-safe.
 */
public final class Members {
    private static final long LONG_AGO_NANOS = 1L << 60;
    private static final long LISTING_RETENTION_NANOS = 3_600_000_000_000L;

    private final long listLagNanos;
    private final long startNanos;
    private final Map<String, Listing> listings = new HashMap<>();
    private ImmutableSet<String> listed = ImmutableSet.of();
    private long horizonNanos;

    /** Times at which an instance was listed, as observed here or adopted from another instance. */
    private record Listing(long firstNanos, long lastNanos, boolean adopted) {}

    private Members(long listLagNanos, long nowNanos) {
        this.listLagNanos = listLagNanos;
        this.startNanos = nowNanos;
        this.horizonNanos = nowNanos - listLagNanos;
    }

    /**
     * Returns an empty membership.
     *
     * @param listLagNanos maximum time by which the platform's list is out of date, in nanoseconds
     * @param nowNanos monotonic time, in nanoseconds
     * @return the members
     */
    public static Members create(long listLagNanos, long nowNanos) {
        checkArgument(listLagNanos > 0, "listLagNanos must be positive, was %s", listLagNanos);
        return new Members(listLagNanos, nowNanos);
    }

    /**
     * Updates the listed instances. Must be called at each change of the platform's list and at least once per second.
     *
     * @param names names of the listed instances
     * @param nowNanos monotonic time, in nanoseconds
     */
    public synchronized void updateListed(Set<String> names, long nowNanos) {
        updateListings(nowNanos);
        listed = ImmutableSet.copyOf(names);
        updateListings(nowNanos);
        long expiredBefore = horizonNanos - LISTING_RETENTION_NANOS;
        listings.values().removeIf(listing -> listing.lastNanos() < expiredBefore);
    }

    /**
     * Records a successful read of the store: instances that were unlisted more than the lag before it no longer count.
     *
     * @param sentNanos monotonic time at which the read was sent, in nanoseconds
     */
    public synchronized void recordStoreRead(long sentNanos) {
        horizonNanos = Math.max(horizonNanos, sentNanos - listLagNanos);
    }

    /**
     * Returns whether the list has not been observed long enough, with the store available, to determine which
     * instances are recent.
     *
     * @return whether {@link #adopt} should be called with another instance's base
     */
    public synchronized boolean wantsAdoption() {
        return horizonNanos < startNanos;
    }

    /**
     * Adds another instance's base to this one. An instance that is recent in any adopted base is recent here.
     *
     * @param base base of an instance that has had authority
     * @param nowNanos monotonic time, in nanoseconds
     */
    public synchronized void adopt(Collection<KnownInstance> base, long nowNanos) {
        for (KnownInstance instance : base) {
            Listing known = listings.get(instance.name());
            boolean keepRecent = known != null && known.adopted() && known.firstNanos() >= startNanos;
            long firstNanos = instance.recent() || keepRecent ? nowNanos : nowNanos - LONG_AGO_NANOS;
            listings.put(instance.name(), new Listing(firstNanos, nowNanos, true));
        }
    }

    /**
     * Returns the instances that the platform lists now.
     *
     * @return names of the instances
     */
    public synchronized ImmutableSet<String> listed() {
        return listed;
    }

    /**
     * Returns the base, the instances over which majorities are counted.
     *
     * @return the instances, in no particular order
     */
    public synchronized ImmutableList<KnownInstance> base() {
        return base(horizonNanos);
    }

    /**
     * Returns the quorum of responses that gives authority. It cannot be met while too many instances are recent.
     *
     * @return the quorum
     */
    public synchronized Quorum authorityQuorum() {
        ImmutableList<KnownInstance> base = base(horizonNanos);
        return new Quorum(names(base), majority(base));
    }

    /**
     * Returns the quorum of confirmations that accepts a change. All members meet it, however many are recent.
     *
     * @param writtenNanos monotonic time at which the change was written or first received here, in nanoseconds
     * @return the quorum
     */
    public synchronized Quorum acceptanceQuorum(long writtenNanos) {
        ImmutableList<KnownInstance> base = base(Math.min(horizonNanos, writtenNanos - listLagNanos));
        return new Quorum(names(base), Math.max(1, Math.min(majority(base), base.size())));
    }

    private void updateListings(long nowNanos) {
        for (String name : listed) {
            Listing known = listings.get(name);
            boolean adopted = known != null && known.adopted();
            listings.put(name, new Listing(known == null ? nowNanos : known.firstNanos(), nowNanos, adopted));
        }
    }

    private ImmutableList<KnownInstance> base(long sinceNanos) {
        ImmutableList.Builder<KnownInstance> base = ImmutableList.builder();
        listings.forEach((name, listing) -> {
            if (listed.contains(name) || listing.lastNanos() >= sinceNanos) {
                base.add(new KnownInstance(name, listing.firstNanos() > sinceNanos));
            }
        });
        return base.build();
    }

    private static int majority(ImmutableList<KnownInstance> base) {
        long recent = base.stream().filter(KnownInstance::recent).count();
        return (int) ((base.size() + recent) / 2) + 1;
    }

    private static ImmutableSet<String> names(ImmutableList<KnownInstance> base) {
        return base.stream().map(KnownInstance::name).collect(ImmutableSet.toImmutableSet());
    }
}
