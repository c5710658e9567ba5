package baobabcroft.serve;

import baobabcroft.admin.StatusReport;
import baobabcroft.balance.EndpointPool;
import baobabcroft.config.ConfigNode;
import baobabcroft.gateway.InFlightLimiter;
import baobabcroft.membership.Members;
import baobabcroft.membership.Presence;
import baobabcroft.settings.Settings;
import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Builds the status report of an instance for operators.
 *
 * <p>The configuration number of each peer is always reported as 0 and the store as available. Versions have their
 * state in the rules, whether or not they were stopped automatically.
 *
 * @param self identity of the instance
 * @param node the applied configuration, its authority and the presence of peers
 * @param members the instances in the platform's live list
 * @param pool the endpoints
 * @param inFlightLimiter counts the open requests and shows whether the instance is draining
 * @param heldBills returns the number of bills that wait to be written to the store
 * @param ticker the monotonic clock
 * @param authorityMillis how long authority lasts after a renewal, in milliseconds
 */
record StatusReporter(
        Settings.Instance self,
        ConfigNode node,
        Members members,
        EndpointPool pool,
        InFlightLimiter inFlightLimiter,
        LongSupplier heldBills,
        Ticker ticker,
        long authorityMillis) {
    /** Returns a stage with the current status. */
    CompletionStage<StatusReport> report() {
        long number = node.current().map(applied -> applied.number()).orElse(0L);
        if (number == 0) {
            return CompletableFuture.completedFuture(report(new StatusReport.Config(0, false, List.of())));
        }
        return node.progress(number)
                .thenApply(progress -> report(new StatusReport.Config(
                        number, progress.accepted(), ImmutableList.sortedCopyOf(progress.missing()))));
    }

    private StatusReport report(StatusReport.Config config) {
        boolean fresh = node.mayAcceptNewWork(ticker.read());
        return new StatusReport(
                self.name(),
                self.failureDomain(),
                state(fresh, config.number()),
                inFlightLimiter.inFlight(),
                config,
                new StatusReport.Authority(fresh, authorityAgeMillis()),
                new StatusReport.Store(true, heldBills.getAsLong()),
                peers(),
                endpoints(),
                versions());
    }

    private StatusReport.State state(boolean fresh, long number) {
        if (inFlightLimiter.isClosing()) {
            return StatusReport.State.DRAINING;
        }
        if (number == 0) {
            return StatusReport.State.STARTING;
        }
        return fresh ? StatusReport.State.SERVING : StatusReport.State.WITHOUT_AUTHORITY;
    }

    private long authorityAgeMillis() {
        long untilNanos = node.freshUntilNanos().orElse(ticker.read());
        return authorityMillis - TimeUnit.NANOSECONDS.toMillis(untilNanos - ticker.read());
    }

    private List<StatusReport.Peer> peers() {
        return members.listed().stream()
                .filter(name -> !name.equals(self.name()))
                .sorted()
                .map(name -> new StatusReport.Peer(name, node.presenceOf(name) == Presence.ALIVE, 0))
                .toList();
    }

    private List<StatusReport.EndpointView> endpoints() {
        return pool.statuses().stream()
                .map(status -> new StatusReport.EndpointView(
                        status.name(), status.health().name().toLowerCase(Locale.ROOT), status.inFlight()))
                .toList();
    }

    private List<StatusReport.VersionView> versions() {
        return node.current().stream()
                .flatMap(applied -> applied.rules().versions().values().stream())
                .map(version -> new StatusReport.VersionView(
                        version.id().toString(), version.state().name().toLowerCase(Locale.ROOT), ""))
                .toList();
    }
}
