package baobabcroft.standin.kv;

import baobabcroft.external.etcd.EtcdJson;
import baobabcroft.external.etcd.EtcdMessages;
import baobabcroft.standin.http.DelayedTasks;
import baobabcroft.standin.http.Exchange;
import baobabcroft.standin.http.HttpStandin;
import baobabcroft.standin.http.Responses;
import baobabcroft.standin.http.StandinSystem;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.util.concurrent.AtomicLongMap;
import java.net.URI;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.OverflowStrategy;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.stream.javadsl.SourceQueueWithComplete;
import org.apache.pekko.util.ByteString;

/**
 * Stand-in for the platform's key-value service, with injectable faults. Thread-safe.
 *
 * <p>Control paths: {@code POST /control/down}, {@code unavailable}, {@code up}, {@code refuse?millis=},
 * {@code slow?millis=}, {@code lose-replies?count=}, {@code lapse-leases}, {@code cut-connections}, {@code compact},
 * {@code reset}, and {@code GET /control/counters}.
 */
public final class KeyValueStandin implements AutoCloseable {
    private static final long LEASE_CHECK_MILLIS = 50;
    private static final int WATCH_BUFFER = 65_536;

    private final KeyValueState state = new KeyValueState();
    private final KeyValueFaults faults = new KeyValueFaults();
    private final AtomicLongMap<CallKind> calls = AtomicLongMap.create();
    private final HttpStandin http;
    private volatile boolean closed;

    private KeyValueStandin(int port) {
        this.http = HttpStandin.start(port, this::handle);
        DelayedTasks.repeat(LEASE_CHECK_MILLIS, this::checkLeases);
    }

    /**
     * Starts an empty key-value service.
     *
     * @param port the TCP port, or 0 to bind an ephemeral port
     * @return the running stand-in
     */
    public static KeyValueStandin start(int port) {
        return new KeyValueStandin(port);
    }

    private boolean checkLeases() {
        state.expireLeases(nowMillis());
        return !closed;
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private CompletionStage<HttpResponse> handle(Exchange exchange) {
        if (exchange.path().startsWith("/control/")) {
            return CompletableFuture.completedFuture(control(exchange));
        }
        CallKind kind = CallKind.ofPath(exchange.path()).orElse(null);
        if (kind == null) {
            return CompletableFuture.completedFuture(Responses.notFound());
        }
        calls.incrementAndGet(kind);
        return switch (faults.mode()) {
            case DOWN -> Responses.abort(exchange);
            case UNAVAILABLE -> CompletableFuture.completedFuture(failure(503, 14, "etcdserver: no leader"));
            case UP ->
                DelayedTasks.supply(faults.delayMillis(), () -> answer(kind, exchange))
                        .thenCompose(response -> response);
        };
    }

    private CompletionStage<HttpResponse> answer(CallKind kind, Exchange exchange) {
        long before = state.revision();
        HttpResponse response = answerOrRefuse(kind, exchange);
        boolean wrote = state.revision() > before && (kind == CallKind.PUT || kind == CallKind.TXN);
        if (wrote && faults.consumeLostReply()) {
            return Responses.abort(exchange);
        }
        return CompletableFuture.completedFuture(response);
    }

    private HttpResponse answerOrRefuse(CallKind kind, Exchange exchange) {
        try {
            return call(kind, exchange);
        } catch (KeyValueRefusal e) {
            return failure(e.httpStatus(), e.grpcCode(), e.getMessage());
        } catch (JsonProcessingException e) {
            return failure(400, 3, e.getOriginalMessage());
        }
    }

    private HttpResponse call(CallKind kind, Exchange exchange) throws JsonProcessingException {
        String body = exchange.body();
        return switch (kind) {
            case RANGE -> ok(state.range(EtcdJson.read(body, EtcdMessages.RangeRequest.class)));
            case PUT -> ok(state.put(EtcdJson.read(body, EtcdMessages.PutRequest.class)));
            case TXN -> ok(state.executeTxn(EtcdJson.read(body, EtcdMessages.TxnRequest.class)));
            case DELETE_RANGE -> ok(state.deleteRange(EtcdJson.read(body, EtcdMessages.DeleteRangeRequest.class)));
            case LEASE_GRANT -> ok(state.grant(EtcdJson.read(body, EtcdMessages.LeaseGrantRequest.class), nowMillis()));
            case LEASE_KEEP_ALIVE ->
                ok(new EtcdMessages.LeaseKeepAliveResponse(
                        state.renew(EtcdJson.read(body, EtcdMessages.LeaseRequest.class), nowMillis())));
            case LEASE_REVOKE -> ok(state.revoke(EtcdJson.read(body, EtcdMessages.LeaseRequest.class)));
            case WATCH ->
                watch(EtcdJson.read(body, EtcdMessages.WatchRequest.class).createRequest(), exchange);
        };
    }

    private HttpResponse watch(EtcdMessages.WatchCreateRequest request, Exchange exchange) {
        Pair<SourceQueueWithComplete<ByteString>, Source<ByteString, NotUsed>> lines =
                Source.<ByteString>queue(WATCH_BUFFER, OverflowStrategy.fail()).preMaterialize(StandinSystem.shared());
        SourceQueueWithComplete<ByteString> queue = lines.first();
        long id = state.watch(request, message -> {
            String line = EtcdJson.write(new EtcdMessages.WatchLine(message)) + "\n";
            var unused = queue.offer(ByteString.fromString(line));
        });
        var unused = exchange.connection().closed().thenRun(() -> state.unwatch(id));
        return HttpResponse.create()
                .withEntity(HttpEntities.createChunked(ContentTypes.APPLICATION_JSON, lines.second()));
    }

    private static HttpResponse ok(Object message) {
        return Responses.json(200, EtcdJson.write(message));
    }

    private static HttpResponse failure(int status, int code, String message) {
        return Responses.json(status, EtcdJson.write(new EtcdMessages.Failure(code, message)));
    }

    private HttpResponse control(Exchange exchange) {
        String command = exchange.path().substring("/control/".length());
        switch (command) {
            case "down" -> down();
            case "unavailable" -> unavailable();
            case "up" -> up();
            case "refuse" -> http.refuseConnectionsFor(exchange.longParameter("millis", 1_000));
            case "slow" -> setDelayMillis(exchange.longParameter("millis", 0));
            case "lose-replies" -> loseReplies((int) exchange.longParameter("count", 1));
            case "lapse-leases" -> expireLeases();
            case "cut-connections" -> abortConnections();
            case "compact" -> compact();
            case "reset" -> reset();
            case "counters" -> {
                return Responses.json(200, countersJson());
            }
            default -> {
                return Responses.notFound();
            }
        }
        return Responses.done();
    }

    private String countersJson() {
        StringBuilder json = new StringBuilder("{");
        for (CallKind kind : CallKind.values()) {
            json.append('"')
                    .append(kind.counterName())
                    .append("\":")
                    .append(calls(kind))
                    .append(',');
        }
        return json.append(String.format(
                        Locale.ROOT, "\"open_watches\":%d,\"revision\":%d}", state.watchCount(), state.revision()))
                .toString();
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return the TCP port on the loopback interface
     */
    public int port() {
        return http.port();
    }

    /**
     * Returns the service's base URI.
     *
     * @return the URI without a path
     */
    public URI uri() {
        return URI.create("http://127.0.0.1:" + port());
    }

    /**
     * Returns the number of received calls of a kind, answered or not.
     *
     * @param kind the kind of call
     * @return the number of calls since the start or the last {@link #reset}
     */
    public long calls(CallKind kind) {
        return calls.get(kind);
    }

    /**
     * Returns the number of received calls by kind, answered or not.
     *
     * @return the non-zero counts by kind
     */
    public ImmutableSortedMap<CallKind, Long> calls() {
        return ImmutableSortedMap.copyOf(calls.asMap());
    }

    /**
     * Returns the number of open watches.
     *
     * @return the number of open watches
     */
    public int openWatches() {
        return state.watchCount();
    }

    /**
     * Aborts all connections, and each later one on receipt of a call, until {@link #up}. The calls get no response and
     * have no effect.
     */
    public void down() {
        faults.setMode(KeyValueFaults.Mode.DOWN);
        http.abortAll();
    }

    /** Answers each call with 503, without effect, until {@link #up}. */
    public void unavailable() {
        faults.setMode(KeyValueFaults.Mode.UNAVAILABLE);
    }

    /** Ends {@link #down} and {@link #unavailable}. */
    public void up() {
        faults.setMode(KeyValueFaults.Mode.UP);
    }

    /** Aborts all connections and refuses new ones until {@link #acceptConnections} is called. */
    public void refuseConnections() {
        http.refuseConnections();
    }

    /** Accepts connections again after {@link #refuseConnections}. */
    public void acceptConnections() {
        http.acceptConnections();
    }

    /**
     * Delays each call before it takes effect.
     *
     * @param millis the delay, in milliseconds; 0 for none
     */
    public void setDelayMillis(long millis) {
        faults.setDelayMillis(millis);
    }

    /**
     * Applies the next writes but aborts their connections instead of responding.
     *
     * @param count the number of writes to leave unanswered
     */
    public void loseReplies(int count) {
        faults.loseReplies(count);
    }

    /** Expires all leases immediately and deletes their keys. */
    public void expireLeases() {
        state.expireAllLeases();
    }

    /** Aborts all open connections; new ones are accepted. */
    public void abortConnections() {
        http.abortAll();
    }

    /** Discards the change history, so that no watch can resume at a revision up to the current one. */
    public void compact() {
        state.compact();
    }

    /**
     * Writes a key without a lease, bypassing the active faults.
     *
     * @param key the key
     * @param value the value, written as UTF-8
     */
    public void putDirectly(String key, String value) {
        state.put(new EtcdMessages.PutRequest(
                com.google.protobuf.ByteString.copyFromUtf8(key),
                com.google.protobuf.ByteString.copyFromUtf8(value),
                0));
    }

    /**
     * Returns the value of a key, bypassing the active faults.
     *
     * @param key the key
     * @return the value, or empty if the key does not exist
     */
    public Optional<com.google.protobuf.ByteString> valueOf(String key) {
        return entriesFrom(key, com.google.protobuf.ByteString.EMPTY).stream()
                .findFirst()
                .map(EtcdMessages.KeyValue::value);
    }

    /**
     * Returns the keys with a prefix, bypassing the active faults.
     *
     * @param prefix the key prefix; not empty
     * @return the matching keys in ascending order
     */
    public ImmutableList<String> keysWithPrefix(String prefix) {
        String end = prefix.substring(0, prefix.length() - 1) + (char) (prefix.charAt(prefix.length() - 1) + 1);
        return entriesFrom(prefix, com.google.protobuf.ByteString.copyFromUtf8(end)).stream()
                .map(entry -> entry.key().toStringUtf8())
                .collect(ImmutableList.toImmutableList());
    }

    private List<EtcdMessages.KeyValue> entriesFrom(String key, com.google.protobuf.ByteString rangeEnd) {
        return state.range(new EtcdMessages.RangeRequest(com.google.protobuf.ByteString.copyFromUtf8(key), rangeEnd))
                .kvs();
    }

    /** Clears all faults and call counters; keys are kept. */
    public void reset() {
        faults.reset();
        calls.clear();
    }

    @Override
    public void close() {
        closed = true;
        http.close();
    }
}
