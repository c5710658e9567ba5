package baobabcroft.instance;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.fairness.AccountSubject;
import baobabcroft.routing.RoutingTable;
import baobabcroft.routing.RoutingTableHolder;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/** Names the configured client accounts of a service as notices name them, with their weights. Not thread-safe. */
final class AccountDirectory implements Function<String, Map<AccountSubject, Double>> {
    private final RoutingTableHolder routing;
    private final Map<String, Map<AccountSubject, Double>> byService = new HashMap<>();
    private Optional<RoutingTable> table = Optional.empty();

    AccountDirectory(RoutingTableHolder routing) {
        this.routing = checkNotNull(routing);
    }

    /** Returns the accounts, among them the one without a name, which stands for requests without an account. */
    @Override
    public Map<AccountSubject, Double> apply(String service) {
        if (!table.equals(routing.current())) {
            table = routing.current();
            byService.clear();
        }
        return byService.computeIfAbsent(service, this::accounts);
    }

    private Map<AccountSubject, Double> accounts(String service) {
        Map<AccountSubject, Double> accounts = new HashMap<>();
        accounts.put(AccountSubject.of(service, ""), 1.0);
        table.ifPresent(current -> current.accounts()
                .forEach(account -> accounts.put(AccountSubject.of(service, account.name()), account.weight())));
        return accounts;
    }
}
