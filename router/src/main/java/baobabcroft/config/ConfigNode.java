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
 * One instance's copy of the configuration: kept current from the store and from other instances, never reverted.
 *
 * <p>Thread-safe. All events run one after the other on the threads that bring them; listeners must not block.
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
        this.poller = new StorePoller(context, state, executor, this::heard);
        this.exchange = new PeerExchange(context, state, presence, executor, this::heard);
    }

    /**
     * Creates a node that has no configuration, and starts it.
     *
     * @param context what it works with; the transport must have no handler for heartbeats and fetches
     * @return the node, running
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
     * Returns whether new work may be taken. To be asked again right before each send.
     *
     * @param nowNanos the monotonic clock, read after all that the work waited for
     * @return whether the authority is fresh
     */
    public boolean mayTakeNewWork(long nowNanos) {
        return state.grant().holdsAt(nowNanos);
    }

    /**
     * Returns whether work that was decided under a number may be sent.
     *
     * @param number the number under which version and endpoint were chosen
     * @param nowNanos the monotonic clock, read after all that the work waited for
     * @return whether that number is the applied one and the authority is fresh
     */
    public boolean mayTakeNewWork(long number, long nowNanos) {
        ConfigState.Grant grant = state.grant();
        return grant.number() == number && grant.holdsAt(nowNanos);
    }

    /**
     * Returns until when the authority lasts by the evidence so far.
     *
     * @return the first moment without authority by the monotonic clock, or empty if there was none
     */
    public OptionalLong freshUntilNanos() {
        return state.grant().untilNanos();
    }

    /**
     * Returns what is applied.
     *
     * @return the configuration, or empty before the first one was heard
     */
    public Optional<AppliedConfig> current() {
        return state.current();
    }

    /**
     * Adds a listener; it is told of the current configuration first.
     *
     * @param listener told of each configuration that is applied
     */
    public void addListener(ConfigListener listener) {
        checkNotNull(listener);
        executor.execute(() -> state.addListener(listener));
    }

    /**
     * Returns what heartbeats say of another instance.
     *
     * @param instance its name
     * @return its presence
     */
    public Presence presenceOf(String instance) {
        return presence.of(instance, context.ticker().read());
    }

    /**
     * Returns presence of all instances, with their starts.
     *
     * @return the table, live
     */
    public PresenceTable presenceTable() {
        return presence;
    }

    /** Tells the others from now on that this instance is leaving. */
    public void setLeaving() {
        executor.execute(() -> {
            exchange.setLeaving();
            exchange.sendHeartbeats(context.members().listed());
        });
    }

    /**
     * Returns the state of a change.
     *
     * @param number the change's number
     * @return who has confirmed it and whether it is accepted
     */
    public CompletionStage<Progress> progress(long number) {
        return inExecutor(() -> state.progress(number));
    }

    /** Stops hearing and telling. What is applied stays readable. */
    @Override
    public void close() {
        closed = true;
        executor.execute(() -> watch.ifPresent(ConfigNode::closeQuietly));
    }

    ConfigContext context() {
        return context;
    }

    /** Applies a document if it is greater, as if heard from the store. */
    CompletionStage<Boolean> offer(ConfigDocument document) {
        return inExecutor(() -> {
            heard(document);
            return true;
        });
    }

    CompletionStage<Optional<ConfigDocument>> recentChange(String changeId) {
        return inExecutor(() -> state.recentChange(changeId));
    }

    private void heard(ConfigDocument document) {
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
