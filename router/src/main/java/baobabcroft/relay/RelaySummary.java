package baobabcroft.relay;

import baobabcroft.common.Execution;
import java.util.Optional;

/**
 * Result of a caller's request.
 *
 * @param requestId id of the request; empty if its headers were not read
 * @param route name of the route; empty if the request was not admitted
 * @param account name of the client account; empty if unknown or if the request was not admitted
 * @param outcome lower-case words joined by underscores
 * @param stopReason why there was no further attempt, as lower-case words joined by underscores; empty if none was due
 * @param status the HTTP status that the caller received; 0 if the caller left or its stream was cut off
 * @param execution whether the request may have run
 * @param attempts number of attempts at endpoints
 * @param elapsedMillis time since the request's arrival, in milliseconds
 * @param configVersion version of the routing table that was used; 0 if the request was not admitted
 */
public record RelaySummary(
        String requestId,
        Optional<String> route,
        Optional<String> account,
        String outcome,
        Optional<String> stopReason,
        int status,
        Execution execution,
        int attempts,
        long elapsedMillis,
        long configVersion) {}
