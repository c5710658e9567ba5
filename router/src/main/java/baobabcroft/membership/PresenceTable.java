package baobabcroft.membership;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSet;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Tracks by heartbeats which instances are alive and which are leaving. Thread-safe. */
public final class PresenceTable {
    private final long suspectNanos;
    private final long deadNanos;
    private final Map<String, LastHeartbeat> lastHeartbeats = new ConcurrentHashMap<>();

    private record LastHeartbeat(long incarnation, boolean leaving, long receivedAtNanos) {}

    /**
     * Creates an empty table.
     *
     * @param suspectNanos time without a heartbeat after which an instance is suspect, in nanoseconds
     * @param deadNanos time without a heartbeat after which an instance counts as dead, in nanoseconds
     */
    public PresenceTable(long suspectNanos, long deadNanos) {
        checkArgument(suspectNanos > 0, "suspectNanos must be positive, was %s", suspectNanos);
        checkArgument(deadNanos > suspectNanos, "deadNanos must exceed suspectNanos, was %s", deadNanos);
        this.suspectNanos = suspectNanos;
        this.deadNanos = deadNanos;
    }

    /**
     * Records a heartbeat or heartbeat response of an instance.
     *
     * @param name name of the instance
     * @param incarnation incarnation that sent it
     * @param leaving whether the instance announced that it is leaving
     * @param nowNanos monotonic time, in nanoseconds
     */
    public void recordHeartbeat(String name, long incarnation, boolean leaving, long nowNanos) {
        lastHeartbeats.put(name, new LastHeartbeat(incarnation, leaving, nowNanos));
    }

    /**
     * Returns the presence of an instance.
     *
     * @param name name of the instance
     * @param nowNanos monotonic time, in nanoseconds
     * @return the presence; dead if no heartbeat was ever received
     */
    public Presence of(String name, long nowNanos) {
        LastHeartbeat last = lastHeartbeats.get(name);
        if (last == null || nowNanos - last.receivedAtNanos() >= deadNanos) {
            return Presence.DEAD;
        }
        return nowNanos - last.receivedAtNanos() >= suspectNanos ? Presence.SUSPECT : Presence.ALIVE;
    }

    /**
     * Returns whether an incarnation of an instance is alive. A restarted instance has lost the state of its requests.
     *
     * @param name name of the instance
     * @param incarnation incarnation of the instance
     * @param nowNanos monotonic time, in nanoseconds
     * @return whether the latest heartbeat is recent and from that incarnation
     */
    public boolean isAlive(String name, long incarnation, long nowNanos) {
        LastHeartbeat last = lastHeartbeats.get(name);
        return last != null && last.incarnation() == incarnation && of(name, nowNanos) == Presence.ALIVE;
    }

    /**
     * Returns the instances that are alive.
     *
     * @param nowNanos monotonic time, in nanoseconds
     * @return names of the instances that are {@link Presence#ALIVE}
     */
    public ImmutableSet<String> alive(long nowNanos) {
        return lastHeartbeats.keySet().stream()
                .filter(name -> of(name, nowNanos) == Presence.ALIVE)
                .collect(ImmutableSet.toImmutableSet());
    }

    /**
     * Returns whether an instance is leaving.
     *
     * @param name name of the instance
     * @return whether its latest heartbeat announced that it is leaving
     */
    public boolean isLeaving(String name) {
        LastHeartbeat last = lastHeartbeats.get(name);
        return last != null && last.leaving();
    }
}
