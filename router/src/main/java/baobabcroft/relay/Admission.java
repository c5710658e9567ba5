package baobabcroft.relay;

import baobabcroft.common.ErrorCode;
import baobabcroft.common.RouterException;
import baobabcroft.routing.AccountProfile;
import baobabcroft.routing.Route;
import baobabcroft.routing.RoutingTable;
import baobabcroft.routing.ServiceProfile;
import java.util.Optional;
import java.util.OptionalInt;

/** Decides whether a request may be served at all, by one configuration that holds for its whole life. */
final class Admission {
    /** When to come back with a request under which endpoints died, in milliseconds. */
    private static final long POISON_RETRY_MILLIS = 10_000;

    private Admission() {}

    /** What became of it. */
    sealed interface Result permits Admitted, Refused {}

    /**
     * The request is refused.
     *
     * @param requestId id of the caller attempt, or empty text if it had none
     * @param refusal the answer
     */
    record Refused(String requestId, Refusal refusal) implements Result {}

    /**
     * The request may be served.
     *
     * @param request the request
     * @param table the configuration that it goes by
     * @param route its route
     * @param account its client account, if it showed a key
     * @param facts what its headers say
     */
    record Admitted(
            CallerRequest request,
            RoutingTable table,
            Route route,
            Optional<AccountProfile> account,
            CallerMetadata facts)
            implements Result {
        /** Returns the rank, 0 first: the client account's if it has one, else the route's. */
        int rank() {
            return account.map(AccountProfile::priority)
                    .orElse(OptionalInt.empty())
                    .orElse(route.priority());
        }

        /** Returns how long an answer may take from the request's arrival, in milliseconds. */
        long waitMillis() {
            return Math.min(route.timeoutMillis(), facts.timeoutMillis().orElse(Long.MAX_VALUE));
        }

        Optional<ServiceProfile> profile(String service) {
            return table.service(service);
        }

        String accountName() {
            return account.map(AccountProfile::name).orElse("");
        }
    }

    /** Returns the decision on a request. */
    static Result decide(RelayServices services, RoutingTable table, CallerRequest request) {
        CallerMetadata facts;
        try {
            facts = services.dialect().readCaller(request);
        } catch (RouterException malformed) {
            return new Refused("", Refusal.of(malformed.code()));
        }
        Optional<Route> route = table.find(request.host(), request.path());
        if (route.isEmpty()) {
            return new Refused(facts.requestId(), Refusal.of(ErrorCode.NOT_FOUND));
        }
        Optional<AccountProfile> account = facts.key().flatMap(table::accountOf);
        if (account.isEmpty() && table.needsKey(route.get())) {
            return new Refused(facts.requestId(), Refusal.of(ErrorCode.UNKNOWN_ACCOUNT));
        }
        Admitted admitted = new Admitted(request, table, route.get(), account, facts);
        if (services.crashes().isPoison(request, admitted.accountName())) {
            return new Refused(facts.requestId(), Refusal.retryAfter(ErrorCode.POISON_REQUEST, POISON_RETRY_MILLIS));
        }
        return admitted;
    }
}
