package baobabcroft.soak;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multimaps;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Judges a run by what callers and endpoints saw, with the excuses that the users' rules give. */
final class Oracle {
    /** Time after which instances that are in touch know what one of them was told, in milliseconds. */
    static final long CONTACT_MILLIS = 4_000;

    private static final long SETTLING_MILLIS = 7_000;
    private static final double MIN_SERVED_SHARE = 0.97;
    private static final int MIN_CALLS = 20;
    private static final int MAX_REQUESTS_IN_PAUSE = 2;
    private static final double MIN_RELATIVE_SERVICE = 2.0 / 3;
    private static final double MAX_FAILED_OF_ALL = 1.0 / 50;
    private static final int MAX_FAILED = 10;

    private final History history;
    private final ImmutableListMultimap<Arrival.Subject, Arrival> bySubject;
    private final Map<String, Call> callsById = new HashMap<>();

    private Oracle(History history) {
        this.history = history;
        this.bySubject = Multimaps.index(history.arrivals(), Arrival::subject);
        history.calls().forEach(call -> callsById.put(call.id(), call));
    }

    /** Returns the verdicts on all promises. */
    static ImmutableList<Verdict> judge(History history) {
        Oracle oracle = new Oracle(history);
        PlacementDetector placement = new PlacementDetector(history);
        return ImmutableList.of(
                oracle.once(),
                oracle.notRun(),
                oracle.wholeAnswer(),
                oracle.inTime(),
                oracle.served(),
                oracle.withdrawn(),
                oracle.leaving(),
                oracle.pause(),
                new LimitDetector(history, oracle.bySubject).verdict(),
                oracle.brittle(),
                oracle.recover(),
                placement.evacuated(),
                placement.regions());
    }

    private Map<String, Long> runsById() {
        return history.arrivals().stream()
                .filter(Arrival::ran)
                .collect(Collectors.groupingBy(Arrival::requestId, Collectors.counting()));
    }

    private Verdict once() {
        Map<String, Long> runs = runsById();
        List<Call> orders = history.calls().stream()
                .filter(call -> call.route() == Call.Route.ORDER && runs.containsKey(call.id()))
                .toList();
        return verdict(
                Promise.ONCE,
                orders.size(),
                orders.stream()
                        .filter(call -> runs.get(call.id()) > 1)
                        .map(call -> call + " ran " + runs.get(call.id()) + " times")
                        .toList());
    }

    private Verdict notRun() {
        Map<String, Long> runs = runsById();
        List<Call> refused = history.calls().stream().filter(Call::saysNotRun).toList();
        return verdict(
                Promise.NOT_RUN,
                refused.size(),
                refused.stream()
                        .filter(call -> runs.containsKey(call.id()))
                        .map(call -> call + " ran all the same")
                        .toList());
    }

    private Verdict wholeAnswer() {
        List<Call> answered = history.calls().stream()
                .filter(call -> call.isServed() || call.outcome() == Call.Outcome.SPOILT)
                .toList();
        return verdict(
                Promise.WHOLE_ANSWER,
                answered.size(),
                answered.stream()
                        .filter(call -> call.outcome() == Call.Outcome.SPOILT)
                        .map(Call::toString)
                        .toList());
    }

    private Verdict inTime() {
        return verdict(
                Promise.IN_TIME,
                history.calls().size(),
                history.calls().stream()
                        .filter(call -> call.outcome() == Call.Outcome.TIMED_OUT)
                        .filter(call -> !history.wasInterrupted(call.instance(), call.sentMillis(), call.endedMillis()))
                        .map(Call::toString)
                        .toList());
    }

    private Verdict served() {
        List<Call> calm = history.calls().stream()
                .filter(call -> history.wasQuiet(call.sentMillis(), call.endedMillis(), SETTLING_MILLIS))
                .toList();
        long served = calm.stream().filter(Call::isServed).count();
        boolean broken = calm.size() >= MIN_CALLS && served < MIN_SERVED_SHARE * calm.size();
        return verdict(
                Promise.SERVED,
                calm.size(),
                broken ? List.of(served + " of " + calm.size() + " in calm times were served") : List.of());
    }

    /** Excuses times in which the store was away or returned from a copy, and instances that were interrupted. */
    private Verdict withdrawn() {
        List<Fault> withdrawals = ofKind(FaultKind.KEY_WITHDRAWN);
        List<Call> calls = history.calls().stream()
                .filter(call -> withdrawals.stream()
                        .anyMatch(fault -> call.sentMillis() > fault.atMillis() + CONTACT_MILLIS
                                && call.endedMillis() < fault.endMillis()
                                && isConfigurable(call, fault)))
                .toList();
        return verdict(
                Promise.WITHDRAWN,
                calls.size(),
                calls.stream().filter(Call::isServed).map(Call::toString).toList());
    }

    private boolean isConfigurable(Call call, Fault withdrawal) {
        return !history.wasInterrupted(call.instance(), withdrawal.atMillis(), call.endedMillis())
                && history.faults().stream()
                        .filter(fault -> fault.kind() == FaultKind.STORE_DOWN || fault.kind() == FaultKind.STORE_COPY)
                        .noneMatch(fault -> fault.overlaps(withdrawal.atMillis() - CONTACT_MILLIS, call.endedMillis()));
    }

    private List<Fault> ofKind(FaultKind kind) {
        return history.faults().stream().filter(fault -> fault.kind() == kind).toList();
    }

    private Verdict leaving() {
        List<String> broken = new ArrayList<>();
        long tried = 0;
        for (Arrival.Subject subject : bySubject.keySet()) {
            Map<Integer, Long> toldMillis = new HashMap<>();
            for (Arrival arrival : bySubject.get(subject)) {
                if (arrival.statement().map(stated -> stated.leaving()).orElse(false)) {
                    arrival.answeredMillis()
                            .ifPresent(answered -> toldMillis.merge(arrival.instance(), answered, Math::min));
                }
            }
            tried += toldMillis.size();
            bySubject.get(subject).stream()
                    .filter(arrival -> toldMillis.containsKey(arrival.instance()))
                    .filter(arrival -> callsById.containsKey(arrival.requestId()))
                    .filter(arrival -> {
                        long told = toldMillis.get(arrival.instance());
                        return callsById.get(arrival.requestId()).sentMillis() > told + CONTACT_MILLIS
                                && !history.wasInterrupted(arrival.instance(), told, arrival.atMillis());
                    })
                    .forEach(arrival -> broken.add(arrival + " after it was told to leave"));
        }
        return verdict(Promise.LEAVING, tried, broken);
    }

    private Verdict pause() {
        List<String> broken = new ArrayList<>();
        long tried = 0;
        for (Arrival told : history.arrivals()) {
            if (told.answeredMillis().isEmpty()
                    || told.statement().isEmpty()
                    || told.statement().get().pauseMillis().isEmpty()) {
                continue;
            }
            tried++;
            long from = told.answeredMillis().getAsLong() + 500;
            long until = told.answeredMillis().getAsLong()
                    + told.statement().get().pauseMillis().getAsLong();
            long count = bySubject.get(told.subject()).stream()
                    .filter(arrival -> arrival.instance() == told.instance())
                    .filter(arrival -> arrival.atMillis() > from && arrival.atMillis() < until)
                    .count();
            if (count > MAX_REQUESTS_IN_PAUSE && !history.wasDisturbed(told.instance(), from, until)) {
                broken.add(count + " requests in the pause of " + told);
            }
        }
        return verdict(Promise.PAUSE, tried, broken);
    }

    private Verdict brittle() {
        List<Fault> times = ofKind(FaultKind.ENDPOINT_BRITTLE);
        return verdict(
                Promise.BRITTLE,
                times.size(),
                times.stream()
                        .filter(fault -> falls(fault) > 2 + 0.1 * history.endpoints())
                        .map(fault -> falls(fault) + " falls in " + fault)
                        .toList());
    }

    private long falls(Fault fault) {
        return history.fallsMillis().stream()
                .filter(at -> at >= fault.atMillis() && at <= fault.endMillis())
                .count();
    }

    private Verdict recover() {
        List<String> broken = new ArrayList<>();
        List<Fault> cuts =
                history.faults().stream().filter(fault -> fault.kind().isCut()).toList();
        cuts.forEach(cut -> serviceDuring(cut).ifBroken(broken));
        return verdict(Promise.RECOVER, cuts.size(), broken);
    }

    /** How callers were served at instances that were cut off, and at others. */
    private record Service(Fault cut, long cutOffCalls, long cutOffServed, long otherCalls, long otherServed) {
        private void ifBroken(List<String> broken) {
            if (cutOffCalls < MIN_CALLS || otherCalls < MIN_CALLS) {
                return;
            }
            double cutOffShare = (double) cutOffServed / cutOffCalls;
            double otherShare = (double) otherServed / otherCalls;
            double allowedFailures = MAX_FAILED + MAX_FAILED_OF_ALL * (cutOffCalls + otherCalls);
            if (cutOffShare < MIN_RELATIVE_SERVICE * otherShare && cutOffCalls - cutOffServed > allowedFailures) {
                broken.add(cutOffServed + " of " + cutOffCalls + " served where cut off, " + otherServed + " of "
                        + otherCalls + " elsewhere: " + cut);
            }
        }
    }

    private Service serviceDuring(Fault cut) {
        List<Call> calls = history.calls().stream()
                .filter(call ->
                        call.sentMillis() > cut.atMillis() + CONTACT_MILLIS && call.endedMillis() < cut.endMillis())
                .filter(call -> !history.wasInterrupted(call.instance(), call.sentMillis(), call.endedMillis()))
                .filter(call -> history.anyReachesEndpoints(call.sentMillis(), call.endedMillis()))
                .toList();
        ImmutableSet<Integer> cutOff = cut.instances();
        Map<Boolean, List<Call>> byCut =
                calls.stream().collect(Collectors.partitioningBy(call -> cutOff.contains(call.instance())));
        return new Service(
                cut,
                byCut.get(true).size(),
                byCut.get(true).stream().filter(Call::isServed).count(),
                byCut.get(false).size(),
                byCut.get(false).stream().filter(Call::isServed).count());
    }

    static Verdict verdict(Promise promise, long tried, List<String> broken) {
        return new Verdict(promise, tried, ImmutableList.sortedCopyOf(Comparator.naturalOrder(), broken));
    }
}
