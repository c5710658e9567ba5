package baobabcroft.load;

import java.util.Map;

/**
 * What one target did. Latencies count from the time at which a request was due, and only whole answers count.
 *
 * @param target the target's name
 * @param sent requests sent
 * @param whole requests with a whole answer of status 200
 * @param incomplete answers of status 200 that were not whole
 * @param refused answers by any other status
 * @param failed requests without an answer, by the kind of failure
 * @param wholePerSecond whole answers a second
 * @param firstByte time to the first byte of the answer's body
 * @param end time to the end of the answer
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
