package baobabcroft.fake;

import baobabcroft.external.KeyValueStore;
import baobabcroft.external.LeaseResult;
import baobabcroft.external.ReadResult;
import baobabcroft.external.Versioned;
import baobabcroft.external.WatchListener;
import baobabcroft.external.WriteResult;
import com.google.protobuf.ByteString;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;

/** A broken adapter, which writes whatever the revision. */
public record UnconditionalWriteStore(FakeStore store, KeyValueStore client) implements KeyValueStore {
    @Override
    public CompletionStage<ReadResult> read(String key) {
        return client.read(key);
    }

    @Override
    public CompletionStage<ReadResult> list(String prefix) {
        return client.list(prefix);
    }

    @Override
    public CompletionStage<WriteResult> compareAndSwap(
            String key, long expectedRevision, ByteString value, OptionalLong leaseId) {
        long currentRevision = store.peek(key).map(Versioned::revision).orElse(ABSENT);
        return client.compareAndSwap(key, currentRevision, value, leaseId);
    }

    @Override
    public CompletionStage<WriteResult> compareAndDelete(String key, long expectedRevision) {
        return client.compareAndDelete(key, expectedRevision);
    }

    @Override
    public CompletionStage<LeaseResult> grantLease(long ttlMillis) {
        return client.grantLease(ttlMillis);
    }

    @Override
    public CompletionStage<LeaseResult> renewLease(long leaseId) {
        return client.renewLease(leaseId);
    }

    @Override
    public CompletionStage<LeaseResult> revokeLease(long leaseId) {
        return client.revokeLease(leaseId);
    }

    @Override
    public AutoCloseable watch(String prefix, WatchListener listener) {
        return client.watch(prefix, listener);
    }

    @Override
    public void close() {
        client.close();
    }
}
