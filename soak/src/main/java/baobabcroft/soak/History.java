package baobabcroft.soak;

import com.google.common.collect.ImmutableList;
import java.util.stream.IntStream;

/**
 * All that callers and endpoints saw of a run, and what was done to it.
 *
 * @param calls the requests of callers
 * @param arrivals the requests at endpoints
 * @param fallsMillis when endpoints fell over, in milliseconds since the start of traffic
 * @param faults the disturbances
 * @param instances number of instances
 * @param endpoints number of endpoints
 */
record History(
        ImmutableList<Call> calls,
        ImmutableList<Arrival> arrivals,
        ImmutableList<Long> fallsMillis,
        ImmutableList<Fault> faults,
        int instances,
        int endpoints) {
    /** Time that a process needs to be back after a disturbance, in milliseconds. */
    private static final long RETURN_MILLIS = 4_000;

    /** Returns the history with times since a later origin. */
    History startingAt(long startMillis) {
        return new History(
                calls.stream().map(call -> call.minus(startMillis)).collect(ImmutableList.toImmutableList()),
                arrivals.stream().map(arrival -> arrival.minus(startMillis)).collect(ImmutableList.toImmutableList()),
                fallsMillis.stream().map(at -> at - startMillis).collect(ImmutableList.toImmutableList()),
                faults,
                instances,
                endpoints);
    }

    /** Returns whether an instance was stopped, started or frozen in an interval, or shortly before. */
    boolean wasInterrupted(int instance, long fromMillis, long untilMillis) {
        return faults.stream()
                .filter(fault -> fault.kind().isOfInstances() && !fault.kind().isCut())
                .anyMatch(fault -> isDisturbedBy(fault, instance, fromMillis, untilMillis));
    }

    /** Returns whether an instance was interrupted or cut off in an interval, or shortly before. */
    boolean wasDisturbed(int instance, long fromMillis, long untilMillis) {
        return faults.stream()
                .filter(fault -> fault.kind().isOfInstances())
                .anyMatch(fault -> isDisturbedBy(fault, instance, fromMillis, untilMillis));
    }

    private static boolean isDisturbedBy(Fault fault, int instance, long fromMillis, long untilMillis) {
        return fault.instances().contains(instance) && fault.overlaps(fromMillis - RETURN_MILLIS, untilMillis);
    }

    /** Returns whether some instance was neither interrupted nor cut off in an interval, or shortly before. */
    boolean anyReachesEndpoints(long fromMillis, long untilMillis) {
        return IntStream.range(0, instances).anyMatch(instance -> !wasDisturbed(instance, fromMillis, untilMillis));
    }

    /** Returns whether nothing at all was disturbed in an interval, or some time before. */
    boolean wasQuiet(long fromMillis, long untilMillis, long settlingMillis) {
        return faults.stream().noneMatch(fault -> fault.overlaps(fromMillis - settlingMillis, untilMillis));
    }
}
