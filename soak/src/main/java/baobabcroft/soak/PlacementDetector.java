package baobabcroft.soak;

import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.Multimaps;
import java.util.List;
import java.util.Optional;

/** Finds requests at endpoints of evacuated failure domains, and outside of allowed regions. */
final class PlacementDetector {
    /** Time after the store's acknowledgement of an order after which it is in force, in milliseconds. */
    private static final long EVACUATION_MILLIS = 5_000;

    private final History history;
    private final ImmutableListMultimap<String, Arrival> byRequest;

    PlacementDetector(History history) {
        this.history = history;
        this.byRequest = Multimaps.index(history.arrivals(), Arrival::requestId);
    }

    /**
     * Excuses instances that were disturbed since the order, as a cut holds back what was sent before. Orders that
     * cannot be judged at all, as the store was away, do not count as tried.
     */
    Verdict evacuated() {
        List<Fault> orders = ofKind(FaultKind.EVACUATION).stream()
                .filter(order -> isStoreSound(order, order.atMillis() + EVACUATION_MILLIS))
                .toList();
        return Oracle.verdict(
                Promise.EVACUATED,
                orders.size(),
                orders.stream()
                        .flatMap(order -> history.arrivals().stream()
                                .filter(arrival -> isIn(arrival, order))
                                .filter(arrival -> arrival.atMillis() > order.atMillis() + EVACUATION_MILLIS
                                        && arrival.atMillis() < order.endMillis())
                                .filter(arrival ->
                                        !history.wasDisturbed(arrival.instance(), order.atMillis(), arrival.atMillis()))
                                .filter(arrival -> isStoreSound(order, arrival.atMillis()))
                                .map(arrival -> arrival + " during " + order))
                        .toList());
    }

    private static boolean isIn(Arrival arrival, Fault order) {
        Optional<String> failureDomain = Placement.failureDomainOf(arrival.endpoint());
        return order.endpoints().stream()
                .map(Placement::failureDomain)
                .anyMatch(evacuated -> failureDomain.equals(Optional.of(evacuated)));
    }

    /** Excuses instances that were interrupted since the configuration was written. */
    Verdict regions() {
        List<Fault> limits = ofKind(FaultKind.REGIONS_LIMITED);
        List<Call> calls = history.calls().stream()
                .filter(call -> Placement.limitOf(call.route()).isPresent())
                .filter(call -> limits.stream().anyMatch(limit -> isUnder(call, limit)))
                .toList();
        return Oracle.verdict(
                Promise.REGIONS,
                calls.size(),
                calls.stream()
                        .flatMap(call -> byRequest.get(call.id()).stream()
                                .filter(arrival -> isOutside(arrival, call.route()))
                                .map(arrival -> call + " arrived as " + arrival))
                        .toList());
    }

    private boolean isUnder(Call call, Fault limit) {
        return call.sentMillis() > limit.atMillis() + Oracle.CONTACT_MILLIS
                && call.sentMillis() < limit.endMillis()
                && !history.wasInterrupted(call.instance(), limit.atMillis(), call.sentMillis())
                && isStoreSound(limit, call.sentMillis());
    }

    private static boolean isOutside(Arrival arrival, Call.Route route) {
        return Placement.failureDomainOf(arrival.endpoint())
                .map(Placement::region)
                .filter(region -> !Placement.limitOf(route).equals(Optional.of(region)))
                .isPresent();
    }

    /** Returns whether the store was there, with all that was written, from the beginning of a change on. */
    private boolean isStoreSound(Fault since, long untilMillis) {
        return history.faults().stream()
                .filter(fault -> fault.kind() == FaultKind.STORE_DOWN || fault.kind() == FaultKind.STORE_COPY)
                .noneMatch(fault -> fault.overlaps(since.atMillis(), untilMillis));
    }

    private List<Fault> ofKind(FaultKind kind) {
        return history.faults().stream().filter(fault -> fault.kind() == kind).toList();
    }
}
