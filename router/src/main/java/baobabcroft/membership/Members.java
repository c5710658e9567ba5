package baobabcroft.membership;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The instances that majorities are counted over, from the platform's lagging list.
 *
 * <p>The base holds every instance that was listed since the store was last read, and for the list's lag before that:
 * without the store it only grows, so that a cut cannot shrink the majority. Instances first listed within that time
 * are recent: another instance may not know them yet, so each adds half a vote to the size that is needed. Then any
 * two majorities overlap, although their bases differ. Thread-safe.
 */
public final class Members {
    private static final long LONG_AGO_NANOS = 1L << 60;
    private static final long FORGET_NANOS = 3_600_000_000_000L;

    private final long listLagNanos;
    private final long startNanos;
    private final Map<String, Listing> listings = new HashMap<>();
    private ImmutableSet<String> listed = ImmutableSet.of();
    private long horizonNanos;

    /** When an instance was in the list, as seen here or as another instance says. */
    private record Listing(long firstNanos, long lastNanos, boolean adopted) {}

    private Members(long listLagNanos, long nowNanos) {
        this.listLagNanos = listLagNanos;
        this.startNanos = nowNanos;
        this.horizonNanos = nowNanos - listLagNanos;
    }

    /**
     * Returns members of whom none is known yet.
     *
     * @param listLagNanos by how much the platform's list may lag, in nanoseconds
     * @param nowNanos the monotonic clock
     * @return the members
     */
    public static Members create(long listLagNanos, long nowNanos) {
        checkArgument(listLagNanos > 0, "listLagNanos must be positive, was %s", listLagNanos);
        return new Members(listLagNanos, nowNanos);
    }

    /**
     * Takes in the platform's list. To be called at each change and at least each second.
     *
     * @param names the instances that are listed
     * @param nowNanos the monotonic clock
     */
    public synchronized void listed(Set<String> names, long nowNanos) {
        touchListed(nowNanos);
        listed = ImmutableSet.copyOf(names);
        touchListed(nowNanos);
        long forgottenBefore = horizonNanos - FORGET_NANOS;
        listings.values().removeIf(listing -> listing.lastNanos() < forgottenBefore);
    }

    /**
     * Notes an answered read of the store: what was unlisted long before it counts no more.
     *
     * @param sentNanos when the read was sent
     */
    public synchronized void storeRead(long sentNanos) {
        horizonNanos = Math.max(horizonNanos, sentNanos - listLagNanos);
    }

    /**
     * Returns whether the list has not been watched long enough, with the store in reach, to know who is recent.
     *
     * @return whether {@link #adopt} should be called with another instance's base
     */
    public synchronized boolean wantsAdoption() {
        return horizonNanos < startNanos;
    }

    /**
     * Takes over another instance's base into this one. Who is recent for one of the others is recent here.
     *
     * @param base the base of an instance that has had authority
     * @param nowNanos the monotonic clock
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
     * @return their names
     */
    public synchronized ImmutableSet<String> listed() {
        return listed;
    }

    /**
     * Returns the base.
     *
     * @return the instances that count, in no order
     */
    public synchronized ImmutableList<KnownInstance> base() {
        return base(horizonNanos);
    }

    /**
     * Returns how many must have answered to give authority. Nobody decides as long as too many are recent.
     *
     * @return the quorum
     */
    public synchronized Quorum authorityQuorum() {
        ImmutableList<KnownInstance> base = base(horizonNanos);
        return new Quorum(names(base), majority(base));
    }

    /**
     * Returns how many must have confirmed a change for it to be accepted. All suffice, however many are recent.
     *
     * @param writtenNanos when the change was written, or first heard of here
     * @return the quorum
     */
    public synchronized Quorum acceptanceQuorum(long writtenNanos) {
        ImmutableList<KnownInstance> base = base(Math.min(horizonNanos, writtenNanos - listLagNanos));
        return new Quorum(names(base), Math.max(1, Math.min(majority(base), base.size())));
    }

    private void touchListed(long nowNanos) {
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
