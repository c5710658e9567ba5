package baobabcroft.relay;

import baobabcroft.common.Execution;
import java.util.Optional;

/**
 * What became of a caller attempt.
 *
 * @param requestId its id, or empty text if it had none
 * @param route name of the route, if one was found
 * @param account the client account, if any
 * @param outcome lower-case words joined by underscores
 * @param stopReason why it was not sent again, as lower-case words joined by underscores, if it would have been
 * @param status the status that the caller received; 0 if none
 * @param execution whether it may have run
 * @param attempts how often it was sent to endpoints
 * @param elapsedMillis time since its arrival, in milliseconds
 * @param configVersion the operators' version that decided; 0 if none
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
