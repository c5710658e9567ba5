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
 * {@link KeyValueStore} that speaks the v3 JSON gateway of etcd.
 *
 * <p>A connection that cannot be opened is "unavailable"; any failure of a write after that is "unknown". A watch calls
 * {@link WatchListener#onGap} each time it is established, the first time too: reading what is watched from there, and
 * only from there, misses nothing. Thread-safe.
 */
public final class EtcdStore implements KeyValueStore {
    /** Largest value that the service takes, in bytes. */
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
     * Returns a store that calls the service at the given addresses.
     *
     * @param urls the service's addresses, such as {@code http://10.0.0.1:2379}; the next is tried when one is down
     * @param timeoutMillis longest wait for the answer to a call, in milliseconds
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

    private static ReadResult readResult(Reply<EtcdMessages.RangeResponse> reply) {
        if (reply instanceof Reply.Answered<EtcdMessages.RangeResponse> answered) {
            EtcdMessages.RangeResponse range = answered.message();
            return new ReadResult.Found(versioned(range.kvs()), range.header().revision());
        }
        return new ReadResult.Unavailable(reasonOf(reply));
    }

    @Override
    public CompletionStage<WriteResult> compareAndSwap(
            String key, long expectedRevision, ByteString value, OptionalLong leaseId) {
        checkArgument(value.size() <= MAX_VALUE_BYTES, "value of %s bytes is too large: '%s'", value.size(), key);
        EtcdMessages.PutRequest put =
                new EtcdMessages.PutRequest(ByteString.copyFromUtf8(key), value, leaseId.orElse(0));
        return swap(key, expectedRevision, new EtcdMessages.RequestOp(null, put, null));
    }

    @Override
    public CompletionStage<WriteResult> compareAndDelete(String key, long expectedRevision) {
        EtcdMessages.DeleteRangeRequest delete =
                new EtcdMessages.DeleteRangeRequest(ByteString.copyFromUtf8(key), ByteString.EMPTY);
        return swap(key, expectedRevision, new EtcdMessages.RequestOp(null, null, delete));
    }

    private CompletionStage<WriteResult> swap(String key, long expectedRevision, EtcdMessages.RequestOp write) {
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

    private static WriteResult writeResult(Reply<EtcdMessages.TxnResponse> reply) {
        if (reply instanceof Reply.Answered<EtcdMessages.TxnResponse> answered) {
            return writeResult(answered.message());
        }
        if (reply instanceof Reply.Lost<EtcdMessages.TxnResponse> lost) {
            return new WriteResult.Unknown(lost.reason());
        }
        return new WriteResult.Unavailable(reasonOf(reply));
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
                .thenApply(reply -> leaseResult(reply));
    }

    @Override
    public CompletionStage<LeaseResult> renewLease(long leaseId) {
        return client.callRepeatable(
                        "/v3/lease/keepalive",
                        new EtcdMessages.LeaseRequest(leaseId),
                        EtcdMessages.LeaseKeepAliveResponse.class)
                .thenApply(EtcdStore::renewalResult);
    }

    private static LeaseResult renewalResult(Reply<EtcdMessages.LeaseKeepAliveResponse> reply) {
        if (!(reply instanceof Reply.Answered<EtcdMessages.LeaseKeepAliveResponse> answered)) {
            return notRenewed(reply);
        }
        EtcdMessages.LeaseResponse lease = answered.message().result();
        return lease == null ? new LeaseResult.Unavailable("renewal without a result") : held(lease);
    }

    @Override
    public CompletionStage<LeaseResult> revokeLease(long leaseId) {
        return client.callRepeatable(
                        "/v3/lease/revoke", new EtcdMessages.LeaseRequest(leaseId), EtcdMessages.LeaseResponse.class)
                .thenApply(reply -> reply instanceof Reply.Answered ? new LeaseResult.NotFound() : notRenewed(reply));
    }

    private static LeaseResult leaseResult(Reply<EtcdMessages.LeaseResponse> reply) {
        return reply instanceof Reply.Answered<EtcdMessages.LeaseResponse> answered
                ? held(answered.message())
                : notRenewed(reply);
    }

    private static LeaseResult held(EtcdMessages.LeaseResponse lease) {
        return lease.ttlSeconds() > 0
                ? new LeaseResult.Held(lease.id(), lease.ttlSeconds() * MILLIS_PER_SECOND)
                : new LeaseResult.NotFound();
    }

    private static LeaseResult notRenewed(Reply<?> reply) {
        boolean unknownLease = reply instanceof Reply.Refused<?> refused && refused.httpStatus() == NOT_FOUND;
        return unknownLease ? new LeaseResult.NotFound() : new LeaseResult.Unavailable(reasonOf(reply));
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

    private static String reasonOf(Reply<?> reply) {
        if (reply instanceof Reply.Refused<?> refused) {
            return "HTTP " + refused.httpStatus() + ": " + refused.reason();
        }
        if (reply instanceof Reply.Lost<?> lost) {
            return lost.reason();
        }
        if (reply instanceof Reply.Unreached<?> unreached) {
            return unreached.reason();
        }
        throw new AssertionError(reply);
    }

    @Override
    public void close() {
        watches.forEach(EtcdWatch::close);
        watches.clear();
        client.close();
    }
}
