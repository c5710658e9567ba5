package baobabcroft.external.etcd;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.Scheduler;
import baobabcroft.external.KeyValueStore;
import baobabcroft.external.LeaseResult;
import baobabcroft.external.ReadResult;
import baobabcroft.external.Versioned;
import baobabcroft.external.WatchListener;
import baobabcroft.external.WriteResult;
import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.net.URI;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;

/**
 * {@link KeyValueStore} over the v3 JSON gateway of etcd.
 *
 * <p>A write whose connection cannot be opened, or that the service rejects, is {@link WriteResult.Unavailable}; any
 * other failed write is {@link WriteResult.Unknown}. A watch calls {@link WatchListener#onGap} each time it is
 * established, including the first time: keys that are read after that call, and not before, miss no change.
 * Thread-safe.
 */
public final class EtcdStore implements KeyValueStore {
    /** Maximum size of a value that the service accepts, in bytes. */
    public static final int MAX_VALUE_BYTES = 1 << 20;

    private static final int NOT_FOUND = 404;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final EtcdClient client;
    private final DoubleSupplier random;
    private final Set<EtcdWatch> watches = ConcurrentHashMap.newKeySet();

    private EtcdStore(EtcdClient client, DoubleSupplier random) {
        this.client = client;
        this.random = checkNotNull(random);
    }

    /**
     * Returns a store that uses the service at the given addresses.
     *
     * @param urls the service's addresses, such as {@code http://10.0.0.1:2379}; tried in turn when one is down
     * @param timeoutMillis response timeout of a call, in milliseconds; half of it is the connect timeout
     * @param scheduler runs timeouts and reconnections
     * @param random uniform numbers from 0 to 1, for the jitter of reconnections; thread-safe
     * @return the store
     */
    public static EtcdStore create(List<URI> urls, long timeoutMillis, Scheduler scheduler, DoubleSupplier random) {
        return new EtcdStore(new EtcdClient(urls, timeoutMillis, scheduler), random);
    }

    @Override
    public CompletionStage<ReadResult> read(String key) {
        return range(new EtcdMessages.RangeRequest(ByteString.copyFromUtf8(key), ByteString.EMPTY));
    }

    @Override
    public CompletionStage<ReadResult> list(String prefix) {
        return range(new EtcdMessages.RangeRequest(rangeStart(prefix), rangeEnd(prefix)));
    }

    private CompletionStage<ReadResult> range(EtcdMessages.RangeRequest request) {
        return client.callRepeatable("/v3/kv/range", request, EtcdMessages.RangeResponse.class)
                .thenApply(EtcdStore::readResult);
    }

    private static ReadResult readResult(CallResult<EtcdMessages.RangeResponse> result) {
        if (result instanceof CallResult.Success<EtcdMessages.RangeResponse> success) {
            EtcdMessages.RangeResponse range = success.message();
            return new ReadResult.Found(versioned(range.kvs()), range.header().revision());
        }
        return new ReadResult.Unavailable(reasonOf(result));
    }

    @Override
    public CompletionStage<WriteResult> compareAndSwap(
            String key, long expectedRevision, ByteString value, OptionalLong leaseId) {
        checkArgument(value.size() <= MAX_VALUE_BYTES, "value of %s bytes is too large: '%s'", value.size(), key);
        EtcdMessages.PutRequest put =
                new EtcdMessages.PutRequest(ByteString.copyFromUtf8(key), value, leaseId.orElse(0));
        return conditionalWrite(key, expectedRevision, new EtcdMessages.RequestOp(null, put, null));
    }

    @Override
    public CompletionStage<WriteResult> compareAndDelete(String key, long expectedRevision) {
        EtcdMessages.DeleteRangeRequest delete =
                new EtcdMessages.DeleteRangeRequest(ByteString.copyFromUtf8(key), ByteString.EMPTY);
        return conditionalWrite(key, expectedRevision, new EtcdMessages.RequestOp(null, null, delete));
    }

    private CompletionStage<WriteResult> conditionalWrite(
            String key, long expectedRevision, EtcdMessages.RequestOp write) {
        checkArgument(expectedRevision >= 0, "expectedRevision must not be negative, was %s", expectedRevision);
        ByteString keyBytes = ByteString.copyFromUtf8(key);
        EtcdMessages.Compare unchanged = new EtcdMessages.Compare(
                EtcdMessages.CompareResult.EQUAL, EtcdMessages.CompareTarget.MOD, keyBytes, 0, 0, expectedRevision);
        EtcdMessages.RequestOp readBack =
                new EtcdMessages.RequestOp(new EtcdMessages.RangeRequest(keyBytes, ByteString.EMPTY), null, null);
        EtcdMessages.TxnRequest transaction = new EtcdMessages.TxnRequest(
                ImmutableList.of(unchanged), ImmutableList.of(write), ImmutableList.of(readBack));
        return client.callOnce("/v3/kv/txn", transaction, EtcdMessages.TxnResponse.class)
                .thenApply(EtcdStore::writeResult);
    }

    private static WriteResult writeResult(CallResult<EtcdMessages.TxnResponse> result) {
        if (result instanceof CallResult.Success<EtcdMessages.TxnResponse> success) {
            return writeResult(success.message());
        }
        if (result instanceof CallResult.ResponseLost<EtcdMessages.TxnResponse> lost) {
            return new WriteResult.Unknown(lost.reason());
        }
        return new WriteResult.Unavailable(reasonOf(result));
    }

    private static WriteResult writeResult(EtcdMessages.TxnResponse response) {
        if (response.succeeded()) {
            return new WriteResult.Done(response.header().revision());
        }
        Optional<Versioned> current = response.responses().stream()
                .filter(step -> step.responseRange() != null)
                .flatMap(step -> versioned(step.responseRange().kvs()).stream())
                .findFirst();
        return new WriteResult.Conflict(current);
    }

    @Override
    public CompletionStage<LeaseResult> grantLease(long ttlMillis) {
        checkArgument(ttlMillis > 0, "ttlMillis must be positive, was %s", ttlMillis);
        long ttlSeconds = (ttlMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
        return client.callOnce(
                        "/v3/lease/grant",
                        new EtcdMessages.LeaseGrantRequest(ttlSeconds, 0),
                        EtcdMessages.LeaseResponse.class)
                .thenApply(result -> leaseResult(result));
    }

    @Override
    public CompletionStage<LeaseResult> renewLease(long leaseId) {
        return client.callRepeatable(
                        "/v3/lease/keepalive",
                        new EtcdMessages.LeaseRequest(leaseId),
                        EtcdMessages.LeaseKeepAliveResponse.class)
                .thenApply(EtcdStore::renewalResult);
    }

    private static LeaseResult renewalResult(CallResult<EtcdMessages.LeaseKeepAliveResponse> result) {
        if (!(result instanceof CallResult.Success<EtcdMessages.LeaseKeepAliveResponse> success)) {
            return leaseFailure(result);
        }
        EtcdMessages.LeaseResponse lease = success.message().result();
        return lease == null ? new LeaseResult.Unavailable("renewal response has no result") : leaseState(lease);
    }

    @Override
    public CompletionStage<LeaseResult> revokeLease(long leaseId) {
        return client.callRepeatable(
                        "/v3/lease/revoke", new EtcdMessages.LeaseRequest(leaseId), EtcdMessages.LeaseResponse.class)
                .thenApply(result ->
                        result instanceof CallResult.Success ? new LeaseResult.NotFound() : leaseFailure(result));
    }

    private static LeaseResult leaseResult(CallResult<EtcdMessages.LeaseResponse> result) {
        return result instanceof CallResult.Success<EtcdMessages.LeaseResponse> success
                ? leaseState(success.message())
                : leaseFailure(result);
    }

    private static LeaseResult leaseState(EtcdMessages.LeaseResponse lease) {
        return lease.ttlSeconds() > 0
                ? new LeaseResult.Held(lease.id(), lease.ttlSeconds() * MILLIS_PER_SECOND)
                : new LeaseResult.NotFound();
    }

    private static LeaseResult leaseFailure(CallResult<?> result) {
        boolean unknownLease = result instanceof CallResult.Rejected<?> rejected && rejected.httpStatus() == NOT_FOUND;
        return unknownLease ? new LeaseResult.NotFound() : new LeaseResult.Unavailable(reasonOf(result));
    }

    @Override
    public AutoCloseable watch(String prefix, WatchListener listener) {
        EtcdWatch watch = new EtcdWatch(client, random, rangeStart(prefix), rangeEnd(prefix), listener);
        watches.add(watch);
        watch.open();
        return () -> {
            watches.remove(watch);
            watch.close();
        };
    }

    private static ByteString rangeStart(String prefix) {
        return prefix.isEmpty() ? EtcdMessages.OPEN_END : ByteString.copyFromUtf8(prefix);
    }

    private static ByteString rangeEnd(String prefix) {
        return prefix.isEmpty() ? EtcdMessages.OPEN_END : EtcdMessages.prefixEnd(ByteString.copyFromUtf8(prefix));
    }

    private static ImmutableList<Versioned> versioned(List<EtcdMessages.KeyValue> entries) {
        return entries.stream().map(EtcdStore::versioned).collect(ImmutableList.toImmutableList());
    }

    static Versioned versioned(EtcdMessages.KeyValue entry) {
        return new Versioned(entry.key().toStringUtf8(), entry.value(), entry.modRevision());
    }

    private static String reasonOf(CallResult<?> result) {
        if (result instanceof CallResult.Rejected<?> rejected) {
            return "HTTP " + rejected.httpStatus() + ": " + rejected.reason();
        }
        if (result instanceof CallResult.ResponseLost<?> lost) {
            return lost.reason();
        }
        if (result instanceof CallResult.NotSent<?> notSent) {
            return notSent.reason();
        }
        throw new AssertionError(result);
    }

    @Override
    public void close() {
        watches.forEach(EtcdWatch::close);
        watches.clear();
        client.close();
    }
}
