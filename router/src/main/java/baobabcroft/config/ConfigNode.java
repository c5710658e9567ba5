package baobabcroft.config;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.config.Confirmations.Progress;
import baobabcroft.membership.Presence;
import baobabcroft.membership.PresenceTable;
import com.google.common.util.concurrent.MoreExecutors;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/**
 * The configuration of one instance, updated from the store and from other instances to greater numbers only.
 *
 * <p>Thread-safe. Events are handled sequentially on the threads that deliver them; listeners must not block.
 */
public final class ConfigNode implements AutoCloseable {
    private final ConfigContext context;
    private final Executor executor = MoreExecutors.newSequentialExecutor(MoreExecutors.directExecutor());
    private final ConfigState state;
    private final PresenceTable presence;
    private final StorePoller poller;
    private final PeerExchange exchange;
    private Optional<AutoCloseable> watch = Optional.empty();
    private volatile boolean closed;

    private ConfigNode(ConfigContext context) {
        this.context = context;
        this.state = new ConfigState(context);
        long suspectNanos = context.timings().freshnessNanos();
        this.presence = new PresenceTable(suspectNanos, 2 * suspectNanos);
        this.poller = new StorePoller(context, state, executor, this::onDocument);
        this.exchange = new PeerExchange(context, state, presence, executor, this::onDocument);
    }

    /**
     * Creates and starts a node without a configuration.
     *
     * @param context dependencies of the node; the transport must have no handler for heartbeats and configuration
     *     fetches
     * @return the running node
     */
    public static ConfigNode start(ConfigContext context) {
        ConfigNode node = new ConfigNode(checkNotNull(context));
        node.exchange.register();
        node.executor.execute(() -> {
            node.watch = Optional.of(node.poller.watch());
            node.readRound();
            node.heartbeatRound();
        });
        return node;
    }

    /**
     * Returns whether new work may be accepted. Must be checked again immediately before each send.
     *
     * @param nowNanos monotonic time, in nanoseconds, read after the last wait
     * @return whether the authority is fresh
     */
    public boolean mayAcceptNewWork(long nowNanos) {
        return state.grant().isValidAt(nowNanos);
    }

    /**
     * Returns whether work that was routed by the configuration of the given number may be sent.
     *
     * @param number number of the configuration by which version and endpoint were chosen
     * @param nowNanos monotonic time, in nanoseconds, read after the last wait
     * @return whether that configuration is still the applied one and the authority is fresh
     */
    public boolean mayAcceptNewWork(long number, long nowNanos) {
        ConfigState.Grant grant = state.grant();
        return grant.number() == number && grant.isValidAt(nowNanos);
    }

    /**
     * Returns when the authority expires unless it is renewed.
     *
     * @return the expiry by the monotonic clock, in nanoseconds, or empty if there was no authority at the last update
     */
    public OptionalLong freshUntilNanos() {
        return state.grant().untilNanos();
    }

    /**
     * Returns the applied configuration.
     *
     * @return the configuration, or empty before the first one is received
     */
    public Optional<AppliedConfig> current() {
        return state.current();
    }

    /**
     * Adds a listener and calls it with the current configuration, if any.
     *
     * @param listener called with each configuration that is applied
     */
    public void addListener(ConfigListener listener) {
        checkNotNull(listener);
        executor.execute(() -> state.addListener(listener));
    }

    /**
     * Returns the presence of another instance according to its heartbeats.
     *
     * @param instance name of the instance
     * @return the presence
     */
    public Presence presenceOf(String instance) {
        return presence.of(instance, context.ticker().read());
    }

    /**
     * Returns the presence of all instances and their incarnations.
     *
     * @return the table, which is updated concurrently
     */
    public PresenceTable presenceTable() {
        return presence;
    }

    /** Announces in this and all later heartbeats that this instance is leaving. */
    public void setLeaving() {
        executor.execute(() -> {
            exchange.setLeaving();
            exchange.sendHeartbeats(context.members().listed());
        });
    }

    /**
     * Returns the state of a change.
     *
     * @param number document number of the change
     * @return the instances that confirmed it, and whether it is accepted
     */
    public CompletionStage<Progress> progress(long number) {
        return inExecutor(() -> state.progress(number));
    }

    /** Stops the watch, the reads and the heartbeats. The applied configuration stays readable. */
    @Override
    public void close() {
        closed = true;
        executor.execute(() -> watch.ifPresent(ConfigNode::closeQuietly));
    }

    ConfigContext context() {
        return context;
    }

    /** Applies a document if its number is greater than the applied one. */
    CompletionStage<Boolean> offer(ConfigDocument document) {
        return inExecutor(() -> {
            onDocument(document);
            return true;
        });
    }

    CompletionStage<Optional<ConfigDocument>> recentChange(String changeId) {
        return inExecutor(() -> state.recentChange(changeId));
    }

    private void onDocument(ConfigDocument document) {
        if (state.apply(document)) {
            exchange.sendHeartbeats(context.members().listed());
        }
    }

    private void readRound() {
        if (closed) {
            return;
        }
        poller.read();
        context.scheduler().schedule(context.timings().readMillis(), () -> executor.execute(this::readRound));
    }

    private void heartbeatRound() {
        if (closed) {
            return;
        }
        state.refreshGrant();
        exchange.sendHeartbeats(context.members().listed());
        context.scheduler().schedule(context.timings().heartbeatMillis(), () -> executor.execute(this::heartbeatRound));
    }

    private <T> CompletionStage<T> inExecutor(Supplier<T> supplier) {
        return CompletableFuture.supplyAsync(supplier, executor);
    }

    private static void closeQuietly(AutoCloseable watch) {
        try {
            watch.close();
        } catch (Exception e) {
            throw new IllegalStateException("closing the watch failed", e);
        }
    }
}
