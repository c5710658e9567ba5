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
 * The records of all slots. Gathers transitions and commits them in groups, slot by slot.
 *
 * <p>Any instance may commit to any slot at any time; compare-and-swap alone keeps them apart. Thread-safe.
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
        this.committers = IntStream.range(0, settings.slots())
                .mapToObj(number -> new SlotCommitter(slotName(number), context, settings, segments, outage))
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns a log over a store.
     *
     * @param context what the log works with
     * @param settings its settings
     * @return the log
     */
    public static SlotLog create(SlotLogContext context, SlotLogSettings settings) {
        return new SlotLog(context, settings);
    }

    /**
     * Returns the key under which a slot's value is stored.
     *
     * @param slotName the slot's name
     * @return the key
     */
    public static String slotKey(String slotName) {
        return SLOT_PREFIX + slotName;
    }

    /**
     * Returns the key under which a segment is stored.
     *
     * @param slotName the name of the segment's slot
     * @param segmentId the segment
     * @return the key
     */
    public static String segmentKey(String slotName, String segmentId) {
        return SEGMENT_PREFIX + slotName + "/" + segmentId;
    }

    /**
     * Commits a transition within a time limit.
     *
     * @param key the record that the transition is about
     * @param transition the transition
     * @param limitMillis when to give up, in milliseconds from now
     * @param undo takes back what the transition may have written when it is given up
     * @param <T> type of the result
     * @return the transition's result, or that it did not get through
     */
    public <T> CompletionStage<CommitResult<T>> submit(
            RecordKey key, Transition<T> transition, long limitMillis, Transition<?> undo) {
        checkNotNull(transition);
        checkNotNull(undo);
        return committer(key).submit(transition, limitMillis, undo);
    }

    /**
     * Commits a transition, however long it takes.
     *
     * @param key the record that the transition is about
     * @param transition the transition
     * @param <T> type of the result
     * @return the transition's result
     */
    public <T> CompletionStage<T> submitUntilDone(RecordKey key, Transition<T> transition) {
        return committer(key).submitUntilDone(checkNotNull(transition));
    }

    /**
     * Returns whether the store answers, as far as the last calls showed.
     *
     * @return false during an outage
     */
    public boolean isAvailable() {
        return !outage.isOutage();
    }

    /**
     * Watches the slot of a record.
     *
     * @param key the record
     * @param onChange told whenever the slot may have changed
     * @return a handle that stops the watch
     */
    public AutoCloseable watch(RecordKey key, Runnable onChange) {
        checkNotNull(onChange);
        String slotKey = slotKey(slotName(key.slot(settings.slots())));
        SlotCommitter committer = committer(key);
        AutoCloseable watch = context.store().watch(slotKey, new SlotListener(slotKey, committer, onChange));
        committer.expire();
        return watch;
    }

    /**
     * Reads the records that the slots' own values hold: all open ones and the recent ones.
     *
     * @return the records, or empty if the store did not answer
     */
    public CompletionStage<Optional<ImmutableList<SlotRecord>>> recentRecords() {
        return context.store().list(SLOT_PREFIX).thenApply(SlotLog::recordsOf);
    }

    /**
     * Reads all records that are kept, sealed ones too. A key may be listed several times, at different states.
     *
     * @return the records, or empty if the store did not answer
     */
    public CompletionStage<Optional<ImmutableList<SlotRecord>>> allRecords() {
        CompletionStage<Optional<ImmutableList<SlotRecord>>> all = recentRecords();
        for (int number = 0; number < settings.slots(); number++) {
            String prefix = segmentKey(slotName(number), "");
            all = all.thenCompose(soFar -> soFar.isEmpty()
                    ? CompletableFuture.completedFuture(soFar)
                    : context.store().list(prefix).thenApply(result -> join(soFar.get(), sealedRecordsOf(result))));
        }
        return all;
    }

    private static Optional<ImmutableList<SlotRecord>> join(
            ImmutableList<SlotRecord> soFar, Optional<ImmutableList<SlotRecord>> more) {
        return more.map(records -> ImmutableList.<SlotRecord>builder()
                .addAll(soFar)
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
        return committers.get(key.slot(settings.slots()));
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
            committer.expire();
            onChange.run();
        }

        @Override
        public void onGap() {
            committer.expire();
            onChange.run();
        }

        @Override
        public void onDisconnected(String reason) {
            LOG.log(LogEvent.SLOT_WATCH_DISCONNECTED, slotKey, reason);
        }
    }
}
