package baobabcroft.membership;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSet;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Which instances are alive and which are leaving, by what was heard of them. Thread-safe. */
public final class PresenceTable {
    private final long suspectNanos;
    private final long deadNanos;
    private final Map<String, Sighting> sightings = new ConcurrentHashMap<>();

    private record Sighting(long incarnation, boolean leaving, long atNanos) {}

    /**
     * Creates an empty table.
     *
     * @param suspectNanos after how long without a word an instance is suspect, in nanoseconds
     * @param deadNanos after how long it is taken for dead, in nanoseconds
     */
    public PresenceTable(long suspectNanos, long deadNanos) {
        checkArgument(suspectNanos > 0, "suspectNanos must be positive, was %s", suspectNanos);
        checkArgument(deadNanos > suspectNanos, "deadNanos must exceed suspectNanos, was %s", deadNanos);
        this.suspectNanos = suspectNanos;
        this.deadNanos = deadNanos;
    }

    /**
     * Notes a word of an instance.
     *
     * @param name the instance
     * @param incarnation which start of it spoke
     * @param leaving whether it said that it is leaving
     * @param nowNanos the monotonic clock
     */
    public void heard(String name, long incarnation, boolean leaving, long nowNanos) {
        sightings.put(name, new Sighting(incarnation, leaving, nowNanos));
    }

    /**
     * Returns what is known of an instance.
     *
     * @param name the instance
     * @param nowNanos the monotonic clock
     * @return its presence
     */
    public Presence of(String name, long nowNanos) {
        Sighting last = sightings.get(name);
        if (last == null || nowNanos - last.atNanos() >= deadNanos) {
            return Presence.DEAD;
        }
        return nowNanos - last.atNanos() >= suspectNanos ? Presence.SUSPECT : Presence.ALIVE;
    }

    /**
     * Returns whether the given start of an instance is alive: a restarted instance has forgotten what it ran.
     *
     * @param name the instance
     * @param incarnation the start
     * @param nowNanos the monotonic clock
     * @return whether that start answered lately
     */
    public boolean isAlive(String name, long incarnation, long nowNanos) {
        Sighting last = sightings.get(name);
        return last != null && last.incarnation() == incarnation && of(name, nowNanos) == Presence.ALIVE;
    }

    /**
     * Returns the instances that answered lately.
     *
     * @param nowNanos the monotonic clock
     * @return those that are {@link Presence#ALIVE}
     */
    public ImmutableSet<String> alive(long nowNanos) {
        return sightings.keySet().stream()
                .filter(name -> of(name, nowNanos) == Presence.ALIVE)
                .collect(ImmutableSet.toImmutableSet());
    }

    /**
     * Returns whether an instance said that it is leaving.
     *
     * @param name the instance
     * @return whether its last word was that it leaves
     */
    public boolean isLeaving(String name) {
        Sighting last = sightings.get(name);
        return last != null && last.leaving();
    }
}
