package baobabcroft.serve;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.config.AppliedConfig;
import baobabcroft.config.ConfigNode;
import baobabcroft.gateway.ActiveRules;
import baobabcroft.gateway.RulesSnapshot;
import com.google.common.base.Ticker;
import java.util.Optional;

/** Provides the rules for new work: those of the applied configuration while authority is fresh. Thread-safe. */
final class ConfigRules implements ActiveRules {
    private final ConfigNode node;
    private final Ticker ticker;

    ConfigRules(ConfigNode node, Ticker ticker) {
        this.node = checkNotNull(node);
        this.ticker = checkNotNull(ticker);
    }

    @Override
    public Optional<RulesSnapshot> forNewRequests() {
        Optional<AppliedConfig> current = node.current();
        if (current.isEmpty() || !node.mayAcceptNewWork(current.get().number(), ticker.read())) {
            return Optional.empty();
        }
        return Optional.of(
                new RulesSnapshot(current.get().number(), current.get().rules()));
    }
}
