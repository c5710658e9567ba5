package baobabcroft.relay;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.relay.ForwardingHeaders.PriorSends;
import baobabcroft.routing.AccountProfile;
import java.util.Optional;
import java.util.OptionalLong;

/** Creates the requests that are sent to endpoints, and to other instances, for a caller's request. */
final class OutgoingRequests {
    private final RelayServices services;
    private final Admission.Admitted admitted;

    OutgoingRequests(RelayServices services, Admission.Admitted admitted) {
        this.services = services;
        this.admitted = admitted;
    }

    /** Returns the request to an endpoint. Among requests of the same priority, large prompts get a lower one. */
    EndpointRequest toEndpoint(
            EndpointEntry endpoint, Optional<String> model, long remainingMillis, OptionalLong resumeAfter) {
        int penalty = services.loads()
                .stateOf(endpoint)
                .priorityPenalty(model, admitted.metadata().prompt());
        ForwardingContext context = new ForwardingContext(
                endpoint.id(),
                admitted.account().map(AccountProfile::name),
                remainingMillis,
                model,
                EndpointPriority.of(admitted.priority(), admitted.table().lowestPriority(), penalty),
                resumeAfter);
        return withHeaders(services.dialect().toEndpoint(admitted.request(), context));
    }

    /** Returns the request to another instance. */
    EndpointRequest toInstance(PriorSends priorSends, long remainingMillis, OptionalLong resumeAfter) {
        Headers headers = services.dialect().toInstance(admitted.request(), remainingMillis, resumeAfter);
        return withHeaders(ForwardingHeaders.withPriorSends(headers, priorSends));
    }

    private EndpointRequest withHeaders(Headers headers) {
        CallerRequest request = admitted.request();
        return new EndpointRequest(
                admitted.metadata().requestId(),
                admitted.route().isRepeatable(),
                request.method(),
                request.target(),
                headers,
                request.body());
    }
}
