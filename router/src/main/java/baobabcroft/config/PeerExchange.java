package baobabcroft.config;

import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.membership.KnownInstance;
import baobabcroft.membership.PresenceTable;
import baobabcroft.peer.PeerResult;
import baobabcroft.peer.proto.ConfigAnswer;
import baobabcroft.peer.proto.ConfigFetch;
import baobabcroft.peer.proto.Heartbeat;
import baobabcroft.peer.proto.HeartbeatAnswer;
import baobabcroft.peer.proto.KnownMember;
import baobabcroft.peer.proto.PeerReply;
import baobabcroft.peer.proto.PeerRequest;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Exchanges heartbeats with other instances and fetches newer configurations from them. Confined to its executor. */
final class PeerExchange {
    private static final EventLog LOG = EventLog.of(PeerExchange.class);
    private static final int MAX_HEARTBEATS_IN_FLIGHT = 4;

    private final ConfigContext context;
    private final ConfigState state;
    private final PresenceTable presence;
    private final Executor executor;
    private final Consumer<ConfigDocument> onDocument;
    private final Map<String, Integer> heartbeatsInFlight = new HashMap<>();
    private final Set<String> fetchesInFlight = new HashSet<>();
    private boolean leaving;

    PeerExchange(
            ConfigContext context,
            ConfigState state,
            PresenceTable presence,
            Executor executor,
            Consumer<ConfigDocument> onDocument) {
        this.context = context;
        this.state = state;
        this.presence = presence;
        this.executor = executor;
        this.onDocument = onDocument;
    }

    void register() {
        context.transport()
                .handle(
                        PeerRequest.BodyCase.HEARTBEAT,
                        (sender, request) -> inExecutor(() -> answerHeartbeat(sender, request.getHeartbeat())));
        context.transport()
                .handle(
                        PeerRequest.BodyCase.CONFIG_FETCH,
                        (sender, request) -> inExecutor(() -> answerFetch(request.getConfigFetch())));
    }

    void setLeaving() {
        leaving = true;
    }

    void sendHeartbeats(Iterable<String> targets) {
        for (String peer : targets) {
            if (!peer.equals(context.self())) {
                sendHeartbeat(peer);
            }
        }
    }

    private void sendHeartbeat(String peer) {
        if (heartbeatsInFlight.getOrDefault(peer, 0) >= MAX_HEARTBEATS_IN_FLIGHT) {
            return;
        }
        heartbeatsInFlight.merge(peer, 1, Integer::sum);
        Heartbeat heartbeat = Heartbeat.newBuilder()
                .setIncarnation(context.incarnation())
                .setConfigNumber(state.number())
                .setLeaving(leaving)
                .setWantsMembers(context.members().wantsAdoption())
                .build();
        PeerRequest request = PeerRequest.newBuilder().setHeartbeat(heartbeat).build();
        long sentNanos = context.ticker().read();
        context.transport()
                .send(peer, request, context.timings().freshnessMillis())
                .thenAcceptAsync(answer -> onHeartbeatResult(peer, sentNanos, answer), executor);
    }

    private void onHeartbeatResult(String peer, long sentNanos, PeerResult answer) {
        heartbeatsInFlight.computeIfPresent(peer, (name, count) -> count == 1 ? null : Integer.valueOf(count - 1));
        if (!(answer instanceof PeerResult.Answered answered)
                || !answered.reply().hasHeartbeat()) {
            return;
        }
        HeartbeatAnswer heartbeat = answered.reply().getHeartbeat();
        long nowNanos = context.ticker().read();
        presence.recordHeartbeat(peer, heartbeat.getIncarnation(), heartbeat.getLeaving(), nowNanos);
        if (heartbeat.getEstablished()) {
            context.members().adopt(known(heartbeat), nowNanos);
            state.authority().recordPeerResponse(peer, sentNanos, heartbeat.getConfigNumber());
            state.confirmations()
                    .recordResponse(peer, heartbeat.getIncarnation(), heartbeat.getConfigNumber(), sentNanos, nowNanos);
        }
        state.refreshGrant();
        fetchIfBehind(peer, heartbeat.getConfigNumber());
    }

    private PeerReply answerHeartbeat(String sender, Heartbeat heartbeat) {
        presence.recordHeartbeat(
                sender,
                heartbeat.getIncarnation(),
                heartbeat.getLeaving(),
                context.ticker().read());
        fetchIfBehind(sender, heartbeat.getConfigNumber());
        HeartbeatAnswer.Builder answer = HeartbeatAnswer.newBuilder()
                .setIncarnation(context.incarnation())
                .setConfigNumber(state.number())
                .setEstablished(state.authority().isEstablished())
                .setLeaving(leaving);
        if (heartbeat.getWantsMembers()) {
            context.members().base().forEach(instance -> answer.addMembers(toMessage(instance)));
        }
        return PeerReply.newBuilder().setHeartbeat(answer).build();
    }

    private void fetchIfBehind(String peer, long number) {
        if (number > state.number()) {
            fetch(peer, state.number());
        }
    }

    private void fetch(String peer, long fromNumber) {
        if (!fetchesInFlight.add(peer)) {
            return;
        }
        ConfigFetch fetch = ConfigFetch.newBuilder().setFromNumber(fromNumber).build();
        PeerRequest request = PeerRequest.newBuilder().setConfigFetch(fetch).build();
        context.transport()
                .send(peer, request, context.timings().freshnessMillis())
                .thenAcceptAsync(answer -> onFetchResult(peer, answer), executor);
    }

    private void onFetchResult(String peer, PeerResult answer) {
        fetchesInFlight.remove(peer);
        if (!(answer instanceof PeerResult.Answered answered)
                || !answered.reply().hasConfig()) {
            return;
        }
        ConfigAnswer config = answered.reply().getConfig();
        if (config.hasDocument()) {
            onDocument.accept(ConfigDocument.fromMessage(config.getDocument()));
            return;
        }
        if (!config.hasDelta()) {
            return;
        }
        Optional<ConfigDocument> document = state.recentDocument(
                        config.getDelta().getBaseNumber())
                .flatMap(base -> ConfigDelta.apply(base, config.getDelta()));
        if (document.isEmpty()) {
            LOG.log(LogEvent.CONFIG_DELTA_REJECTED, peer);
            fetch(peer, 0);
            return;
        }
        onDocument.accept(document.get());
    }

    private PeerReply answerFetch(ConfigFetch fetch) {
        ConfigAnswer.Builder answer = ConfigAnswer.newBuilder();
        Optional<AppliedConfig> current = state.current();
        if (current.isEmpty() || current.get().number() <= fetch.getFromNumber()) {
            answer.setUpToDate(true);
            return PeerReply.newBuilder().setConfig(answer).build();
        }
        ConfigDocument document = current.get().document();
        Optional<ConfigDocument> base = state.recentDocument(fetch.getFromNumber());
        if (base.isPresent()) {
            answer.setDelta(ConfigDelta.between(base.get(), document));
        } else {
            answer.setDocument(document.toMessage());
        }
        return PeerReply.newBuilder().setConfig(answer).build();
    }

    private CompletionStage<PeerReply> inExecutor(Supplier<PeerReply> handler) {
        return CompletableFuture.supplyAsync(handler, executor);
    }

    private static List<KnownInstance> known(HeartbeatAnswer answer) {
        return answer.getMembersList().stream()
                .map(member -> new KnownInstance(member.getName(), member.getRecent()))
                .toList();
    }

    private static KnownMember toMessage(KnownInstance instance) {
        return KnownMember.newBuilder()
                .setName(instance.name())
                .setRecent(instance.recent())
                .build();
    }
}
