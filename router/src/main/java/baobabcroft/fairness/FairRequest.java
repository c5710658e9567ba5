package baobabcroft.fairness;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What the decision on shares knows of a request.
 *
 * @param service the service that is to serve it
 * @param account name of its client account; empty if it has none
 * @param weight weight of the account; positive
 * @param precedence share of the service's kinds of requests that are more urgent, from 0 to 1
 * @param tokens token memory that it is going to hold; 0 at plain services
 */
public record FairRequest(String service, String account, double weight, double precedence, long tokens) {
    /** Validates the components. */
    public FairRequest {
        checkNotNull(service);
        checkNotNull(account);
        checkArgument(weight > 0, "weight not positive: %s", weight);
        checkArgument(precedence >= 0 && precedence <= 1, "precedence: %s", precedence);
    }

    AccountSubject subject() {
        return AccountSubject.of(service, account);
    }
}
