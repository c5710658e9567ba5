package baobabcroft.instance;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.Scheduler;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Names of the instances that share the endpoints. An instance that is no longer published stays for some time: a store
 * that has returned from a copy lacks the newest instances until they publish themselves again. Not thread-safe.
 */
final class FleetMembers {
    private final Scheduler scheduler;
    private final long removalDelayMillis;
    private final Map<String, Scheduler.Cancellable> removals = new HashMap<>();
    private ImmutableSet<String> names;

    FleetMembers(String self, Scheduler scheduler, long removalDelayMillis) {
        this.scheduler = checkNotNull(scheduler);
        this.removalDelayMillis = removalDelayMillis;
        this.names = ImmutableSet.of(self);
    }

    /** Returns the names, as the same object until they change. */
    ImmutableSet<String> names() {
        return names;
    }

    void add(String name) {
        Scheduler.Cancellable removal = removals.remove(name);
        if (removal != null) {
            removal.cancel();
        }
        if (!names.contains(name)) {
            TreeSet<String> changed = new TreeSet<>(names);
            changed.add(name);
            names = ImmutableSet.copyOf(changed);
        }
    }

    void remove(String name) {
        if (names.contains(name) && !removals.containsKey(name)) {
            removals.put(name, scheduler.schedule(removalDelayMillis, () -> drop(name)));
        }
    }

    private void drop(String name) {
        removals.remove(name);
        names = names.stream().filter(other -> !other.equals(name)).collect(ImmutableSet.toImmutableSet());
    }
}
