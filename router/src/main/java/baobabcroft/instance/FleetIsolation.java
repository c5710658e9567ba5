package baobabcroft.instance;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/** Which instances are cut off from all endpoints, by their own word. Not thread-safe. */
final class FleetIsolation {
    /** Age above which what was said is ignored; tolerates several lost notices in a row. */
    private static final long MAX_AGE_MILLIS = 3_000;

    private final String self;
    private final BooleanSupplier selfIsolated;
    private final LongSupplier nowMillis;
    private final Map<String, Report> byInstance = new HashMap<>();
    private final Map<String, Report> byFailureDomain = new HashMap<>();

    private record Report(ImmutableSet<String> isolated, long atMillis) {}

    FleetIsolation(String self, BooleanSupplier selfIsolated, LongSupplier nowMillis) {
        this.self = checkNotNull(self);
        this.selfIsolated = checkNotNull(selfIsolated);
        this.nowMillis = checkNotNull(nowMillis);
    }

    /** Sets what another instance of this failure domain says of itself. */
    void setInstance(String instance, ImmutableSet<String> isolated) {
        byInstance.put(instance, new Report(isolated, nowMillis.getAsLong()));
    }

    /** Sets what an instance of another failure domain says of that domain. */
    void setFailureDomain(String failureDomain, ImmutableSet<String> isolated) {
        byFailureDomain.put(failureDomain, new Report(isolated, nowMillis.getAsLong()));
    }

    /** Returns the name of this instance if it is isolated. */
    ImmutableSet<String> own() {
        return selfIsolated.getAsBoolean() ? ImmutableSet.of(self) : ImmutableSet.of();
    }

    /** Returns the isolated instances of this failure domain. */
    ImmutableSet<String> ownDomain() {
        ImmutableSet.Builder<String> isolated = ImmutableSet.builder();
        byInstance.values().stream().filter(this::isFresh).forEach(report -> isolated.addAll(report.isolated()));
        return isolated.addAll(own()).build();
    }

    /** Returns whether another instance has said that it is isolated. */
    boolean isIsolated(String instance, String failureDomain) {
        Report report =
                byInstance.containsKey(instance) ? byInstance.get(instance) : byFailureDomain.get(failureDomain);
        return report != null && isFresh(report) && report.isolated().contains(instance);
    }

    private boolean isFresh(Report report) {
        return report.atMillis() >= nowMillis.getAsLong() - MAX_AGE_MILLIS;
    }
}
