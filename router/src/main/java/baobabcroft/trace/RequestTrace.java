package baobabcroft.trace;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The logged course of a request on all instances, with the state of the instances and the cause of the outcome.
 *
 * @param request id of the request
 * @param lines events of the request, ordered by time, the final event last
 * @param beliefs state of each instance when it first logged the request
 * @param nearby events of the request's endpoints and instances from shortly before its first event to shortly after
 *     its last
 * @param cause description of the outcome and its cause
 */
public record RequestTrace(
        String request,
        ImmutableList<LogLine> lines,
        ImmutableList<InstanceState> beliefs,
        ImmutableList<LogLine> nearby,
        String cause) {
    /** Time before and after a request in which events count as nearby. Longer than the lag of the endpoint list. */
    private static final long NEARBY_MILLIS = 5_000;

    private static final String SENT = "BC7001";
    private static final String SEND_FAILED = "BC7002";
    private static final String FINISHED = "BC7003";
    private static final Set<String> INSTANCE_EVENTS =
            Set.of("BC1001", "BC1002", "BC1003", "BC1009", "BC3001", "BC3002", "BC5003", "BC5011");
    private static final Set<String> ENDPOINT_EVENTS = Set.of("BC5001", "BC5002", "BC5012", "BC5013", "BC5014");

    /** Checks the components. */
    public RequestTrace {
        checkNotNull(request);
        checkNotNull(lines);
        checkNotNull(beliefs);
        checkNotNull(nearby);
        checkNotNull(cause);
    }

    /**
     * Returns the trace of a request.
     *
     * @param request id of the request
     * @param log all events, ordered by time
     * @return the trace, or empty if no event has this request id
     */
    public static Optional<RequestTrace> of(String request, List<LogLine> log) {
        ImmutableList<LogLine> own = log.stream()
                .filter(line -> line.has("request", request))
                .sorted(Comparator.comparing(line -> line.code().equals(FINISHED)))
                .collect(ImmutableList.toImmutableList());
        if (own.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new RequestTrace(request, own, instanceStates(own, log), nearby(own, log), cause(own)));
    }

    /**
     * Returns the ids of the requests of a client account that ended in a time interval.
     *
     * @param account name of the client account
     * @param fromEpochMillis start of the interval, inclusive, in milliseconds since the epoch
     * @param toEpochMillis end of the interval, inclusive, in milliseconds since the epoch
     * @param log all events, ordered by time
     * @return the ids without duplicates, ordered by the end of the requests
     */
    public static ImmutableList<String> requestsOf(
            String account, long fromEpochMillis, long toEpochMillis, List<LogLine> log) {
        return log.stream()
                .filter(line -> line.code().equals(FINISHED) && line.has("account", account))
                .filter(line -> line.epochMillis() >= fromEpochMillis && line.epochMillis() <= toEpochMillis)
                .flatMap(line -> line.value("request").stream())
                .distinct()
                .collect(ImmutableList.toImmutableList());
    }

    private static ImmutableList<InstanceState> instanceStates(List<LogLine> own, List<LogLine> log) {
        Map<String, Long> firstSeenMillis = new LinkedHashMap<>();
        own.forEach(line -> firstSeenMillis.putIfAbsent(line.instance(), line.epochMillis()));
        List<InstanceState> states = new ArrayList<>();
        firstSeenMillis.forEach((instance, at) -> {
            latestEvent(log, instance, at, Set.of("BC2001"))
                    .ifPresent(line -> states.add(instanceState(
                            line, "configuration", line.value("number").orElse("unknown"), at)));
            latestEvent(log, instance, at, Set.of("BC3001", "BC3002"))
                    .ifPresent(line -> states.add(instanceState(line, "store", line.message(), at)));
            latestEvent(log, instance, at, Set.of("BC5011"))
                    .ifPresent(line -> states.add(instanceState(
                            line,
                            "roll-out of " + line.value("service").orElse("unknown"),
                            line.value("target").orElse("unknown") + " "
                                    + line.value("stage").orElse("unknown"),
                            at)));
        });
        return ImmutableList.copyOf(states);
    }

    private static Optional<LogLine> latestEvent(
            List<LogLine> log, String instance, long atEpochMillis, Set<String> codes) {
        return log.stream()
                .filter(line -> line.instance().equals(instance) && line.epochMillis() <= atEpochMillis)
                .filter(line -> codes.contains(line.code()))
                .reduce((earlier, later) -> later);
    }

    private static InstanceState instanceState(LogLine line, String subject, String text, long atEpochMillis) {
        return new InstanceState(line.instance(), subject, text, atEpochMillis - line.epochMillis());
    }

    private static ImmutableList<LogLine> nearby(List<LogLine> own, List<LogLine> log) {
        Set<String> instances = own.stream().map(LogLine::instance).collect(Collectors.toSet());
        Set<String> endpoints = new HashSet<>();
        own.forEach(line -> line.value("endpoint").ifPresent(endpoints::add));
        long first = own.stream().mapToLong(LogLine::epochMillis).min().orElseThrow() - NEARBY_MILLIS;
        long last = own.stream().mapToLong(LogLine::epochMillis).max().orElseThrow() + NEARBY_MILLIS;
        return log.stream()
                .filter(line -> line.epochMillis() >= first && line.epochMillis() <= last)
                .filter(line -> (INSTANCE_EVENTS.contains(line.code()) && instances.contains(line.instance()))
                        || (ENDPOINT_EVENTS.contains(line.code()) && concerns(line, endpoints)))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns whether an event is about one of the endpoints. Some events append {@code #} and the incarnation. */
    private static boolean concerns(LogLine line, Set<String> endpoints) {
        return line.value("endpoint")
                .map(endpoint -> endpoint.split("#", 2)[0])
                .filter(endpoints::contains)
                .isPresent();
    }

    private static String cause(List<LogLine> own) {
        Optional<LogLine> finished =
                own.stream().filter(line -> line.code().equals(FINISHED)).findFirst();
        if (finished.isEmpty()) {
            return "no end is logged: the instance stopped, or its last lines were dropped (BC1008, log_dropped_lines)";
        }
        LogLine end = finished.get();
        return "%s (%s) after %s ms and %s sends%s%s"
                .formatted(
                        end.value("outcome").orElse("unknown"),
                        end.value("execution").orElse("unknown"),
                        end.value("elapsedMillis").orElse("?"),
                        end.value("sends").orElse("?"),
                        end.value("stopped")
                                .filter(reason -> !reason.equals("none"))
                                .map(reason -> "; not sent again: " + reason)
                                .orElse(""),
                        describeAttempts(own));
    }

    private static String describeAttempts(List<LogLine> own) {
        List<String> parts = new ArrayList<>();
        for (LogLine line : own) {
            if (line.code().equals(SENT)) {
                parts.add("to " + line.value("endpoint").orElse("unknown"));
            } else if (line.code().equals(SEND_FAILED)) {
                parts.add(line.value("reason").orElse("unknown"));
            }
        }
        return parts.isEmpty() ? "" : ": " + String.join(", ", parts);
    }
}
