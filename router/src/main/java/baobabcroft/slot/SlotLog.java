package baobabcroft.slot;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.external.OutageDetector;
import baobabcroft.external.ReadResult;
import baobabcroft.external.Versioned;
import baobabcroft.external.WatchListener;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.IntStream;

/**
 * Log of the records of all slots. Transitions of the same slot are collected and committed in batches.
 *
 * <p>Any instance may commit to any slot at any time; concurrent commits are resolved by compare-and-swap alone.
 * Thread-safe.
 */
public final class SlotLog {
    private static final EventLog LOG = EventLog.of(SlotLog.class);
    private static final String SLOT_PREFIX = "slots/";
    private static final String SEGMENT_PREFIX = "segments/";

    private final SlotLogContext context;
    private final SlotLogSettings settings;
    private final OutageDetector outage;
    private final ImmutableList<SlotCommitter> committers;

    private SlotLog(SlotLogContext context, SlotLogSettings settings) {
        this.context = checkNotNull(context);
        this.settings = checkNotNull(settings);
        SegmentCache segments = new SegmentCache(context.store());
        this.outage = new OutageDetector(context.ticker(), settings.backoffMaxMillis());
        this.committers = IntStream.range(0, settings.slotCount())
                .mapToObj(number -> new SlotCommitter(slotName(number), context, settings, segments, outage))
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns a log on the store of the given context.
     *
     * @param context collaborators of the log
     * @param settings settings, with the same number of slots on all instances
     * @return the log
     */
    public static SlotLog create(SlotLogContext context, SlotLogSettings settings) {
        return new SlotLog(context, settings);
    }

    /**
     * Returns the key under which a slot's value is stored.
     *
     * @param slotName name of the slot
     * @return key in the store
     */
    public static String slotKey(String slotName) {
        return SLOT_PREFIX + slotName;
    }

    /**
     * Returns the key under which a segment is stored.
     *
     * @param slotName name of the slot that the segment belongs to
     * @param segmentId identifier of the segment; if empty, the result is the prefix of all segments of the slot
     * @return key in the store
     */
    public static String segmentKey(String slotName, String segmentId) {
        return SEGMENT_PREFIX + slotName + "/" + segmentId;
    }

    /**
     * Commits a transition within a timeout.
     *
     * @param key key of the record that the transition changes; determines the slot
     * @param transition transition to commit; may be applied several times
     * @param timeoutMillis timeout, in milliseconds from now
     * @param undo reverts what the transition may have written; committed after a timeout if a write was sent
     * @param <T> type of the result
     * @return the result of the transition, or {@link CommitResult.Unavailable} if it was not committed; completes
     *     exceptionally with an {@link IllegalStateException} if the stored data are corrupt
     */
    public <T> CompletionStage<CommitResult<T>> submit(
            RecordKey key, Transition<T> transition, long timeoutMillis, Transition<?> undo) {
        checkNotNull(transition);
        checkNotNull(undo);
        return committer(key).submit(transition, timeoutMillis, undo);
    }

    /**
     * Commits a transition without a timeout, retrying until it succeeds.
     *
     * @param key key of the record that the transition changes; determines the slot
     * @param transition transition to commit; may be applied several times
     * @param <T> type of the result
     * @return the result of the transition
     */
    public <T> CompletionStage<T> submitUntilDone(RecordKey key, Transition<T> transition) {
        return committer(key).submitUntilDone(checkNotNull(transition));
    }

    /**
     * Returns whether the store is available, judged by the most recent calls.
     *
     * @return false if the last calls failed
     */
    public boolean isAvailable() {
        return !outage.isOutage();
    }

    /**
     * Watches the slot that holds a record.
     *
     * @param key key of the record
     * @param onChange called whenever the slot may have changed
     * @return handle that stops the watch when closed
     */
    public AutoCloseable watch(RecordKey key, Runnable onChange) {
        checkNotNull(onChange);
        String slotKey = slotKey(slotName(key.slotIndex(settings.slotCount())));
        SlotCommitter committer = committer(key);
        AutoCloseable watch = context.store().watch(slotKey, new SlotListener(slotKey, committer, onChange));
        committer.invalidateCache();
        return watch;
    }

    /**
     * Reads the records in the values of all slots, without segments: all open records and recently settled ones.
     *
     * @return the records, or empty if the store did not answer
     */
    public CompletionStage<Optional<ImmutableList<SlotRecord>>> recentRecords() {
        return context.store().list(SLOT_PREFIX).thenApply(SlotLog::recordsOf);
    }

    /**
     * Reads all stored records, including those in segments. A key may occur several times, in different states.
     *
     * @return the records, or empty if the store did not answer
     */
    public CompletionStage<Optional<ImmutableList<SlotRecord>>> allRecords() {
        CompletionStage<Optional<ImmutableList<SlotRecord>>> all = recentRecords();
        for (int number = 0; number < settings.slotCount(); number++) {
            String prefix = segmentKey(slotName(number), "");
            all = all.thenCompose(soFar -> soFar.isEmpty()
                    ? CompletableFuture.completedFuture(soFar)
                    : context.store().list(prefix).thenApply(result -> concat(soFar.get(), sealedRecordsOf(result))));
        }
        return all;
    }

    private static Optional<ImmutableList<SlotRecord>> concat(
            ImmutableList<SlotRecord> first, Optional<ImmutableList<SlotRecord>> second) {
        return second.map(records -> ImmutableList.<SlotRecord>builder()
                .addAll(first)
                .addAll(records)
                .build());
    }

    private static Optional<ImmutableList<SlotRecord>> sealedRecordsOf(ReadResult result) {
        return decodeEach(result, SlotCodec::decodeSegment);
    }

    private static Optional<ImmutableList<SlotRecord>> recordsOf(ReadResult result) {
        return decodeEach(result, value -> Slot.decode(value).records());
    }

    private interface Decoder {
        ImmutableList<SlotRecord> decode(ByteString value) throws InvalidProtocolBufferException;
    }

    private static Optional<ImmutableList<SlotRecord>> decodeEach(ReadResult result, Decoder decoder) {
        if (!(result instanceof ReadResult.Found found)) {
            return Optional.empty();
        }
        ImmutableList.Builder<SlotRecord> records = ImmutableList.builder();
        for (Versioned entry : found.entries()) {
            try {
                records.addAll(decoder.decode(entry.value()));
            } catch (InvalidProtocolBufferException e) {
                LOG.logFailure(LogEvent.RECORD_UNREADABLE, e, entry.key());
                return Optional.empty();
            }
        }
        return Optional.of(records.build());
    }

    private static String slotName(int number) {
        return "%03d".formatted(number);
    }

    private SlotCommitter committer(RecordKey key) {
        return committers.get(key.slotIndex(settings.slotCount()));
    }

    private record SlotListener(String slotKey, SlotCommitter committer, Runnable onChange) implements WatchListener {
        @Override
        public void onPut(Versioned entry) {
            if (entry.key().equals(slotKey)) {
                committer.observe(entry);
                onChange.run();
            }
        }

        @Override
        public void onDelete(String key, long revision) {
            committer.invalidateCache();
            onChange.run();
        }

        @Override
        public void onGap() {
            committer.invalidateCache();
            onChange.run();
        }

        @Override
        public void onDisconnected(String reason) {
            LOG.log(LogEvent.SLOT_WATCH_DISCONNECTED, slotKey, reason);
        }
    }
}
