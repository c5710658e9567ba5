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
 * A request's lines over all instances, what each instance believed, and the cause that follows from them.
 *
 * @param request the request's id
 * @param lines the request's own lines, by time
 * @param beliefs what its instances believed when they first logged it
 * @param nearby lines on its endpoints and on the instances themselves from shortly before its first line to shortly
 *     after its last
 * @param cause what the lines show, in words
 */
public record RequestTrace(
        String request,
        ImmutableList<LogLine> lines,
        ImmutableList<Belief> beliefs,
        ImmutableList<LogLine> nearby,
        String cause) {
    /** Time around a request from which lines count as nearby, in milliseconds: an endpoint list's lag and more. */
    private static final long NEARBY_MILLIS = 5_000;

    private static final String SENT = "BC7001";
    private static final String SEND_FAILED = "BC7002";
    private static final String FINISHED = "BC7003";
    private static final Set<String> OF_INSTANCE =
            Set.of("BC1001", "BC1002", "BC1003", "BC1009", "BC3001", "BC3002", "BC5003", "BC5011");
    private static final Set<String> OF_ENDPOINT = Set.of("BC5001", "BC5002", "BC5012", "BC5013", "BC5014");

    /** Checks the parts. */
    public RequestTrace {
        checkNotNull(request);
        checkNotNull(lines);
        checkNotNull(beliefs);
        checkNotNull(nearby);
        checkNotNull(cause);
    }

    /**
     * Returns the story of a request.
     *
     * @param request its id
     * @param log all lines, by time
     * @return the story, or empty if no line names the request
     */
    public static Optional<RequestTrace> of(String request, List<LogLine> log) {
        ImmutableList<LogLine> own = log.stream()
                .filter(line -> line.has("request", request))
                .sorted(Comparator.comparing(line -> line.code().equals(FINISHED)))
                .collect(ImmutableList.toImmutableList());
        if (own.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new RequestTrace(request, own, beliefs(own, log), nearby(own, log), cause(own)));
    }

    /**
     * Returns the ids of a client account's requests around a time.
     *
     * @param account the client account
     * @param fromEpochMillis first moment, in milliseconds since the epoch
     * @param toEpochMillis last moment, in milliseconds since the epoch
     * @param log all lines, by time
     * @return the ids, by the time of their end
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

    private static ImmutableList<Belief> beliefs(List<LogLine> own, List<LogLine> log) {
        Map<String, Long> firstSeen = new LinkedHashMap<>();
        own.forEach(line -> firstSeen.putIfAbsent(line.instance(), line.epochMillis()));
        List<Belief> beliefs = new ArrayList<>();
        firstSeen.forEach((instance, at) -> {
            last(log, instance, at, Set.of("BC2001"))
                    .ifPresent(line -> beliefs.add(
                            belief(line, "configuration", line.value("number").orElse("unknown"), at)));
            last(log, instance, at, Set.of("BC3001", "BC3002"))
                    .ifPresent(line -> beliefs.add(belief(line, "store", line.message(), at)));
            last(log, instance, at, Set.of("BC5011"))
                    .ifPresent(line -> beliefs.add(belief(
                            line,
                            "roll-out of " + line.value("service").orElse("unknown"),
                            line.value("target").orElse("unknown") + " "
                                    + line.value("stage").orElse("unknown"),
                            at)));
        });
        return ImmutableList.copyOf(beliefs);
    }

    private static Optional<LogLine> last(List<LogLine> log, String instance, long atEpochMillis, Set<String> codes) {
        return log.stream()
                .filter(line -> line.instance().equals(instance) && line.epochMillis() <= atEpochMillis)
                .filter(line -> codes.contains(line.code()))
                .reduce((earlier, later) -> later);
    }

    private static Belief belief(LogLine line, String subject, String text, long atEpochMillis) {
        return new Belief(line.instance(), subject, text, atEpochMillis - line.epochMillis());
    }

    private static ImmutableList<LogLine> nearby(List<LogLine> own, List<LogLine> log) {
        Set<String> instances = own.stream().map(LogLine::instance).collect(Collectors.toSet());
        Set<String> endpoints = new HashSet<>();
        own.forEach(line -> line.value("endpoint").ifPresent(endpoints::add));
        long first = own.stream().mapToLong(LogLine::epochMillis).min().orElseThrow() - NEARBY_MILLIS;
        long last = own.stream().mapToLong(LogLine::epochMillis).max().orElseThrow() + NEARBY_MILLIS;
        return log.stream()
                .filter(line -> line.epochMillis() >= first && line.epochMillis() <= last)
                .filter(line -> (OF_INSTANCE.contains(line.code()) && instances.contains(line.instance()))
                        || (OF_ENDPOINT.contains(line.code()) && concerns(line, endpoints)))
                .collect(ImmutableList.toImmutableList());
    }

    /** An endpoint's own events name it, with its incarnation behind a {@code #} in some. */
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
                        sends(own));
    }

    private static String sends(List<LogLine> own) {
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
