package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.relay.ForwardingHeaders.PriorSends;
import baobabcroft.routing.RoutingTable;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Serves requests that other instances have forwarded because they are cut off from the endpoints. */
public final class ForwardedRequests {
    private static final int BAD_REQUEST_STATUS = 400;
    static final int UNAVAILABLE_STATUS = 503;
    /** Reason of a rejection: the request was admitted by a newer configuration than the one at this instance. */
    static final String OLDER_CONFIGURATION = "older_configuration";

    private static final byte[] NO_BODY = {};

    /** The request is over at once. */
    private static final RequestInProgress DONE = new RequestInProgress() {
        @Override
        public boolean isDone() {
            return true;
        }

        @Override
        public void onCallerDisconnected() {}
    };

    private final RelayServices services;
    private final BooleanSupplier isViewRecent;
    private final Supplier<Optional<String>> rejectionReason;

    private ForwardedRequests(
            RelayServices services, BooleanSupplier isViewRecent, Supplier<Optional<String>> rejectionReason) {
        this.services = services;
        this.isViewRecent = isViewRecent;
        this.rejectionReason = rejectionReason;
    }

    /**
     * Returns an object that serves forwarded requests.
     *
     * @param services the services that all requests share
     * @param isViewRecent whether this instance has heard of the store so recently that requests may still be served by
     *     an older configuration than that of the forwarding instance
     * @param rejectionReason supplies why this instance serves no forwarded requests now; empty if it does
     * @return the new object
     */
    public static ForwardedRequests create(
            RelayServices services, BooleanSupplier isViewRecent, Supplier<Optional<String>> rejectionReason) {
        return new ForwardedRequests(checkNotNull(services), checkNotNull(isViewRecent), checkNotNull(rejectionReason));
    }

    /**
     * Starts serving a request, or states that it is not served here and was not sent to any endpoint.
     *
     * @param request the request as another instance has forwarded it
     * @param caller sends the answer to the other instance
     * @return the request in progress, or already done
     */
    public RequestInProgress serve(CallerRequest request, CallerExchange caller) {
        Optional<PriorSends> priorSends = ForwardingHeaders.priorSends(request.headers());
        if (priorSends.isEmpty()) {
            caller.answer(BAD_REQUEST_STATUS, Headers.EMPTY, NO_BODY);
            return DONE;
        }
        Optional<String> reason =
                isOutdated(priorSends.get()) ? Optional.of(OLDER_CONFIGURATION) : rejectionReason.get();
        if (reason.isPresent()) {
            caller.answer(UNAVAILABLE_STATUS, ForwardingHeaders.rejection(reason.get()), NO_BODY);
            return DONE;
        }
        CallerRequest original = new CallerRequest(
                request.method(),
                request.target(),
                request.host(),
                ForwardingHeaders.without(request.headers()),
                request.body());
        return RelayedRequest.startForwarded(services, original, caller, priorSends.get());
    }

    private boolean isOutdated(PriorSends priorSends) {
        long version = services.routing().current().map(RoutingTable::version).orElse(0L);
        return priorSends.configVersion() > version && !isViewRecent.getAsBoolean();
    }
}
