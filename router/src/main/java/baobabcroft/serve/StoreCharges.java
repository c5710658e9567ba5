package baobabcroft.serve;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.ErrorCode;
import baobabcroft.common.Execution;
import baobabcroft.common.RouterException;
import baobabcroft.gateway.Charge;
import baobabcroft.gateway.Charges;
import baobabcroft.platform.KeyValueStore;
import baobabcroft.platform.WriteResult;
import com.google.protobuf.ByteString;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Records each charge under a key of its own, written once. Thread-safe. */
final class StoreCharges implements Charges {
    private static final int MAX_TRIES = 5;

    private final KeyValueStore store;

    StoreCharges(KeyValueStore store) {
        this.store = checkNotNull(store);
    }

    @Override
    public void requireAvailable() {}

    @Override
    public CompletionStage<Void> record(Charge charge) {
        return write(charge, MAX_TRIES);
    }

    private CompletionStage<Void> write(Charge charge, int triesLeft) {
        String key = "bills/" + charge.account() + "/" + charge.billingId();
        ByteString value = ByteString.copyFromUtf8(charge.toString());
        return store.compareAndSwap(key, KeyValueStore.ABSENT, value, OptionalLong.empty())
                .thenCompose(result -> {
                    if (result instanceof WriteResult.Done || result instanceof WriteResult.Conflict) {
                        return CompletableFuture.completedFuture(null);
                    }
                    if (triesLeft > 1) {
                        return write(charge, triesLeft - 1);
                    }
                    return CompletableFuture.failedFuture(RouterException.of(
                            ErrorCode.BILLING_UNAVAILABLE, Execution.RAN, "the bill could not be recorded"));
                });
    }
}
