package baobabcroft.load;

import java.util.Map;

/**
 * Measurements of one target. Latencies count from the scheduled send time and cover complete responses only.
 *
 * @param target name of the target
 * @param sent number of requests sent
 * @param whole number of complete responses with status 200
 * @param incomplete number of responses with status 200 whose body was truncated
 * @param refused number of responses with another status, by status
 * @param failed number of requests without a response, by {@code timeout} or the simple name of the exception
 * @param wholePerSecond complete responses per second of the measured phase
 * @param firstByte latency until the first byte of the response body
 * @param end latency until the end of the response
 */
public record TargetReport(
        String target,
        long sent,
        long whole,
        long incomplete,
        Map<Integer, Long> refused,
        Map<String, Long> failed,
        double wholePerSecond,
        Latencies firstByte,
        Latencies end) {}
