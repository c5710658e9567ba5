package baobabcroft.slot;

import baobabcroft.external.KeyValueStore;
import baobabcroft.external.ReadResult;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.primitives.Longs;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Arrays;
import java.util.concurrent.CompletionStage;

/**
 * Cache of segments: key digests of many segments, and full records of a few.
 *
 * <p>Segments are immutable, so entries are never invalidated. A referenced segment that is missing in the store is
 * cached as empty, because it is deleted only after all its records have expired. Thread-safe.
 */
final class SegmentCache {
    private static final EventLog LOG = EventLog.of(SegmentCache.class);
    private static final long MAX_DIGESTS = 4_000_000;
    private static final long MAX_RECORD_BYTES = 16 << 20;
    private static final int RECORD_OVERHEAD_BYTES = 256;

    private final KeyValueStore store;
    private final Cache<String, long[]> digests = CacheBuilder.newBuilder()
            .maximumWeight(MAX_DIGESTS)
            .weigher((String key, long[] values) -> values.length + 1)
            .build();
    private final Cache<String, ImmutableMap<RecordKey, SlotRecord>> records = CacheBuilder.newBuilder()
            .maximumWeight(MAX_RECORD_BYTES)
            .weigher((String key, ImmutableMap<RecordKey, SlotRecord> values) -> weigh(values))
            .build();

    SegmentCache(KeyValueStore store) {
        this.store = store;
    }

    private static int weigh(ImmutableMap<RecordKey, SlotRecord> values) {
        int bytes = RECORD_OVERHEAD_BYTES;
        for (SlotRecord record : values.values()) {
            bytes += record.payload().size() + RECORD_OVERHEAD_BYTES;
        }
        return bytes;
    }

    /** Looks up the newest record of a key in the segments of a slot, newest segment first. */
    Lookup find(String slotName, ImmutableList<SegmentInfo> segments, RecordKey key) {
        for (SegmentInfo segment : segments.reverse()) {
            String segmentKey = SlotLog.segmentKey(slotName, segment.id());
            long[] keys = digests.getIfPresent(segmentKey);
            if (keys == null) {
                return new Lookup.NotLoaded(segment);
            }
            if (Arrays.binarySearch(keys, key.digest()) < 0) {
                continue;
            }
            ImmutableMap<RecordKey, SlotRecord> loaded = records.getIfPresent(segmentKey);
            if (loaded == null) {
                return new Lookup.NotLoaded(segment);
            }
            SlotRecord record = loaded.get(key);
            if (record != null) {
                return new Lookup.Present(record);
            }
        }
        return new Lookup.Absent();
    }

    /** Loads a segment from the store; completes with whether it could be read and decoded. */
    CompletionStage<Boolean> load(String slotName, SegmentInfo segment) {
        String segmentKey = SlotLog.segmentKey(slotName, segment.id());
        return store.read(segmentKey).thenApply(result -> accept(segmentKey, result));
    }

    private boolean accept(String segmentKey, ReadResult result) {
        if (!(result instanceof ReadResult.Found found)) {
            return false;
        }
        if (found.entries().isEmpty()) {
            put(segmentKey, ImmutableList.of());
            return true;
        }
        try {
            put(segmentKey, SlotCodec.decodeSegment(found.entries().get(0).value()));
            return true;
        } catch (InvalidProtocolBufferException e) {
            LOG.logFailure(LogEvent.RECORD_UNREADABLE, e, segmentKey);
            return false;
        }
    }

    /** Caches the records of a segment. */
    void put(String segmentKey, ImmutableList<SlotRecord> sealedRecords) {
        ImmutableMap.Builder<RecordKey, SlotRecord> byKey = ImmutableMap.builder();
        sealedRecords.forEach(record -> byKey.put(record.key(), record));
        records.put(segmentKey, byKey.buildOrThrow());
        long[] sorted = Longs.toArray(
                sealedRecords.stream().map(record -> record.key().digest()).toList());
        Arrays.sort(sorted);
        digests.put(segmentKey, sorted);
    }
}
