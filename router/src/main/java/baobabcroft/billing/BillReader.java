package baobabcroft.billing;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.external.KeyValueStore;
import baobabcroft.external.ReadResult;
import baobabcroft.external.Versioned;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import com.google.common.collect.ImmutableList;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** Reads the bills of all instances and returns one bill for each request. Thread-safe. */
public final class BillReader {
    private static final EventLog LOG = EventLog.of(BillReader.class);

    private final KeyValueStore store;
    private final BillSource claims;

    private BillReader(KeyValueStore store, BillSource claims) {
        this.store = checkNotNull(store);
        this.claims = checkNotNull(claims);
    }

    /**
     * Returns a reader that combines the journals with the bills derived from claims.
     *
     * @param store store that contains the journals
     * @param claims source of the bills derived from claims
     * @return a new reader
     */
    public static BillReader create(KeyValueStore store, BillSource claims) {
        return new BillReader(store, claims);
    }

    /**
     * Returns all bills, one for each request.
     *
     * @return the bills, or empty if the store did not answer or a journal segment is unreadable
     */
    public CompletionStage<Optional<BillReport>> read() {
        return claims.read().thenCombine(store.list(BillJournal.PREFIX), BillReader::report);
    }

    private static Optional<BillReport> report(Optional<ImmutableList<Bill>> claimed, ReadResult journals) {
        if (claimed.isEmpty() || !(journals instanceof ReadResult.Found found)) {
            return Optional.empty();
        }
        ImmutableList.Builder<Bill> all = ImmutableList.builder();
        all.addAll(claimed.get());
        List<Versioned> earliestFirst = found.entries().stream()
                .sorted(Comparator.comparingLong(Versioned::revision))
                .toList();
        for (Versioned segment : earliestFirst) {
            try {
                all.addAll(BillCodec.decode(segment.value()));
            } catch (InvalidProtocolBufferException e) {
                LOG.logFailure(LogEvent.RECORD_UNREADABLE, e, segment.key());
                return Optional.empty();
            }
        }
        return Optional.of(BillReport.of(all.build()));
    }
}
