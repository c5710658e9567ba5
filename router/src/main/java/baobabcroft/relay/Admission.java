package baobabcroft.relay;

import baobabcroft.common.ErrorCode;
import baobabcroft.common.RouterException;
import baobabcroft.fairness.FairRequest;
import baobabcroft.routing.AccountProfile;
import baobabcroft.routing.AllowedRegions;
import baobabcroft.routing.Route;
import baobabcroft.routing.RoutingTable;
import baobabcroft.routing.ServiceProfile;
import java.util.Optional;
import java.util.OptionalInt;

/** Decides whether a request is admitted. The routing table used here applies to the request until its end. */
final class Admission {
    /** Retry delay given to callers whose request has crashed several endpoints, in milliseconds. */
    private static final long POISON_RETRY_MILLIS = 10_000;
    /** Refusal of a request that must not be sent, or not any more, because it crashes endpoints. */
    static final Refusal POISON_REFUSAL = Refusal.retryAfter(ErrorCode.POISON_REQUEST, POISON_RETRY_MILLIS);

    private Admission() {}

    /** The admission decision. */
    sealed interface Result permits Admitted, Refused {}

    /**
     * The request is refused.
     *
     * @param requestId id of the caller's request; empty if its headers could not be read
     * @param refusal the answer to the caller
     */
    record Refused(String requestId, Refusal refusal) implements Result {
        /** Returns whether another configuration could admit the request. */
        boolean isByConfiguration() {
            return refusal.code() == ErrorCode.NOT_FOUND || refusal.code() == ErrorCode.UNKNOWN_ACCOUNT;
        }
    }

    /**
     * The request is admitted.
     *
     * @param request the caller's request
     * @param table the routing table that applies to the request until its end
     * @param route its route
     * @param account its client account; empty if the caller presented no known key
     * @param metadata the values of its headers
     * @param allowedRegions the regions that its route, its account and the instance that forwarded it all allow
     */
    record Admitted(
            CallerRequest request,
            RoutingTable table,
            Route route,
            Optional<AccountProfile> account,
            CallerMetadata metadata,
            AllowedRegions allowedRegions)
            implements Result {
        /** Returns the priority, 0 being the highest: the client account's if it has one, else the route's. */
        int priority() {
            return account.map(AccountProfile::priority)
                    .orElse(OptionalInt.empty())
                    .orElse(route.priority());
        }

        /** Returns the maximum time from the request's arrival to its answer, in milliseconds. */
        long timeoutMillis() {
            return Math.min(route.timeoutMillis(), metadata.timeoutMillis().orElse(Long.MAX_VALUE));
        }

        /** Returns what rules on endpoints of a service know of the request. */
        EligibilityRequest eligibilityRequest(String service, Optional<String> model) {
            return new EligibilityRequest(allowedRegions, serviceProfile(service), model, metadata.prompt());
        }

        Optional<ServiceProfile> serviceProfile(String service) {
            return table.service(service);
        }

        /** Returns what the decision on shares of client accounts knows of the request. */
        FairRequest fairRequest(String service, Optional<String> model) {
            boolean engine =
                    serviceProfile(service).filter(ServiceProfile::isEngine).isPresent();
            return new FairRequest(
                    service,
                    account.map(AccountProfile::name).orElse(""),
                    account.map(AccountProfile::weight).orElse(1.0),
                    table.precedence(service, priority(), route.goalMillis()),
                    engine ? metadata.prompt().tokenNeed(model).totalTokens() : 0);
        }

        RequestIdentity identity() {
            return new RequestIdentity(
                    request, account.map(AccountProfile::name).orElse(""), metadata.prompt());
        }
    }

    /**
     * Returns whether a request is admitted under a routing table, or why it is refused.
     *
     * @param statedRegions the regions that the instance states that forwarded the request, whose configuration may be
     *     another one; all for a caller's own request
     */
    static Result decide(
            RelayServices services, RoutingTable table, CallerRequest request, AllowedRegions statedRegions) {
        CallerMetadata metadata;
        try {
            metadata = services.dialect().readCaller(request);
        } catch (RouterException malformed) {
            return new Refused("", Refusal.of(malformed.code()));
        }
        Optional<Route> route = table.find(request.host(), request.path());
        if (route.isEmpty()) {
            return new Refused(metadata.requestId(), Refusal.of(ErrorCode.NOT_FOUND));
        }
        Optional<AccountProfile> account = metadata.key().flatMap(table::accountOf);
        if (account.isEmpty() && table.needsKey(route.get())) {
            return new Refused(metadata.requestId(), Refusal.of(ErrorCode.UNKNOWN_ACCOUNT));
        }
        AllowedRegions allowedRegions = account.map(AccountProfile::allowedRegions)
                .orElse(AllowedRegions.ALL)
                .and(route.get().allowedRegions())
                .and(statedRegions);
        Admitted admitted = new Admitted(request, table, route.get(), account, metadata, allowedRegions);
        if (!services.poisonDetector().admit(admitted.identity())) {
            return new Refused(metadata.requestId(), POISON_REFUSAL);
        }
        return admitted;
    }
}
