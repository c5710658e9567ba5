package baobabcroft.external.etcd;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.util.List;

/** Messages of the service, as far as the router and its tests use them. */
public final class EtcdMessages {
    /** End of a range that means "all keys from the first on". */
    public static final ByteString OPEN_END = ByteString.copyFrom(new byte[] {0});

    private EtcdMessages() {}

    /**
     * Returns the end of the range of all keys that start with a prefix.
     *
     * @param prefix the prefix, not empty
     * @return the least key that is greater than each of them
     */
    public static ByteString prefixEnd(ByteString prefix) {
        int last = prefix.size() - 1;
        while (last >= 0 && prefix.byteAt(last) == (byte) 0xff) {
            last--;
        }
        if (last < 0) {
            return OPEN_END;
        }
        byte next = (byte) (prefix.byteAt(last) + 1);
        return prefix.substring(0, last).concat(ByteString.copyFrom(new byte[] {next}));
    }

    private static <T> List<T> orEmpty(List<T> list) {
        return list == null ? ImmutableList.of() : ImmutableList.copyOf(list);
    }

    private static Header orZero(Header header) {
        return header == null ? new Header(0) : header;
    }

    /**
     * Head of each answer.
     *
     * @param revision the store's revision
     */
    public record Header(long revision) {}

    /**
     * A key with its value.
     *
     * @param key the key
     * @param createRevision revision at which the key was created
     * @param modRevision revision of its last write
     * @param version writes since it was created
     * @param value the value
     * @param lease the lease that removes it, or zero
     */
    public record KeyValue(
            ByteString key, long createRevision, long modRevision, long version, ByteString value, long lease) {}

    /**
     * Reads a range of keys.
     *
     * @param key first key
     * @param rangeEnd end of the range, or empty for one key
     */
    public record RangeRequest(ByteString key, ByteString rangeEnd) {}

    /**
     * Answer to a range request.
     *
     * @param header the head
     * @param kvs the keys found
     * @param count how many there are
     */
    public record RangeResponse(Header header, List<KeyValue> kvs, long count) {
        /** Fills in absent parts. */
        public RangeResponse {
            header = orZero(header);
            kvs = orEmpty(kvs);
        }
    }

    /**
     * Writes a key.
     *
     * @param key the key
     * @param value the value
     * @param lease the lease that removes it, or zero
     */
    public record PutRequest(ByteString key, ByteString value, long lease) {}

    /**
     * Answer to a write.
     *
     * @param header the head
     */
    public record PutResponse(Header header) {}

    /**
     * Deletes a range of keys.
     *
     * @param key first key
     * @param rangeEnd end of the range, or empty for one key
     */
    public record DeleteRangeRequest(ByteString key, ByteString rangeEnd) {}

    /**
     * Answer to a deletion.
     *
     * @param header the head
     * @param deleted how many keys were deleted
     */
    public record DeleteRangeResponse(Header header, long deleted) {}

    /** What of a key a condition compares. */
    public enum CompareTarget {
        /** The writes since it was created. */
        VERSION,
        /** The revision at which it was created; zero if it does not exist. */
        CREATE,
        /** The revision of its last write; zero if it does not exist. */
        MOD
    }

    /** How a condition compares. */
    public enum CompareResult {
        /** The key's number equals the condition's. */
        EQUAL,
        /** The key's number is greater. */
        GREATER,
        /** The key's number is less. */
        LESS,
        /** The numbers differ. */
        NOT_EQUAL
    }

    /**
     * Condition of a transaction.
     *
     * @param result how to compare
     * @param target what to compare
     * @param key the key
     * @param version number for {@link CompareTarget#VERSION}
     * @param createRevision number for {@link CompareTarget#CREATE}
     * @param modRevision number for {@link CompareTarget#MOD}
     */
    public record Compare(
            CompareResult result,
            CompareTarget target,
            ByteString key,
            long version,
            long createRevision,
            long modRevision) {
        /** Fills in absent parts. */
        public Compare {
            result = result == null ? CompareResult.EQUAL : result;
            target = target == null ? CompareTarget.VERSION : target;
        }
    }

    /**
     * Step of a transaction; one of the parts is set.
     *
     * @param requestRange a read
     * @param requestPut a write
     * @param requestDeleteRange a deletion
     */
    public record RequestOp(RangeRequest requestRange, PutRequest requestPut, DeleteRangeRequest requestDeleteRange) {}

    /**
     * Answer to a step of a transaction; one of the parts is set.
     *
     * @param responseRange a read's
     * @param responsePut a write's
     * @param responseDeleteRange a deletion's
     */
    public record ResponseOp(
            RangeResponse responseRange, PutResponse responsePut, DeleteRangeResponse responseDeleteRange) {}

    /**
     * Steps taken at one revision, chosen by conditions.
     *
     * @param compare the conditions
     * @param success steps if all conditions hold
     * @param failure steps otherwise
     */
    public record TxnRequest(List<Compare> compare, List<RequestOp> success, List<RequestOp> failure) {
        /** Fills in absent parts. */
        public TxnRequest {
            compare = orEmpty(compare);
            success = orEmpty(success);
            failure = orEmpty(failure);
        }
    }

    /**
     * Answer to a transaction.
     *
     * @param header the head
     * @param succeeded whether all conditions held
     * @param responses answers to the steps taken
     */
    public record TxnResponse(Header header, boolean succeeded, List<ResponseOp> responses) {
        /** Fills in absent parts. */
        public TxnResponse {
            header = orZero(header);
            responses = orEmpty(responses);
        }
    }

    /**
     * Asks for a lease.
     *
     * @param ttlSeconds how long it lasts, in seconds
     * @param id its identifier, or zero to let the service choose
     */
    public record LeaseGrantRequest(@JsonProperty("TTL") long ttlSeconds, @JsonProperty("ID") long id) {}

    /**
     * Names a lease, to renew or revoke it.
     *
     * @param id the lease
     */
    public record LeaseRequest(@JsonProperty("ID") long id) {}

    /**
     * State of a lease.
     *
     * @param header the head
     * @param id the lease
     * @param ttlSeconds how long it lasts, in seconds; zero if it is gone
     */
    public record LeaseResponse(Header header, @JsonProperty("ID") long id, @JsonProperty("TTL") long ttlSeconds) {}

    /**
     * Answer to a renewal, which comes on a stream.
     *
     * @param result the lease's state
     */
    public record LeaseKeepAliveResponse(LeaseResponse result) {}

    /**
     * Opens a watch.
     *
     * @param createRequest what to watch
     */
    public record WatchRequest(WatchCreateRequest createRequest) {}

    /**
     * What to watch.
     *
     * @param key first key
     * @param rangeEnd end of the range, or empty for one key
     * @param startRevision first revision to tell of, or zero to begin with the next
     */
    public record WatchCreateRequest(ByteString key, ByteString rangeEnd, long startRevision) {}

    /**
     * One line of a watch.
     *
     * @param result its content
     */
    public record WatchLine(WatchResponse result) {}

    /**
     * Content of one line of a watch.
     *
     * @param header the head
     * @param created whether the watch has begun with this line
     * @param canceled whether the watch ends with this line
     * @param compactRevision least revision still known, if the watch began before it
     * @param events the changes
     */
    public record WatchResponse(
            Header header, boolean created, boolean canceled, long compactRevision, List<Event> events) {
        /** Fills in absent parts. */
        public WatchResponse {
            header = orZero(header);
            events = orEmpty(events);
        }
    }

    /** Kind of change. */
    public enum EventType {
        /** The key was written. */
        PUT,
        /** The key was deleted. */
        DELETE
    }

    /**
     * A change of a key.
     *
     * @param type the kind of change
     * @param kv the key as it is now; after a deletion only its name and the deletion's revision
     */
    public record Event(EventType type, KeyValue kv) {
        /** Fills in absent parts. */
        public Event {
            type = type == null ? EventType.PUT : type;
        }
    }

    /**
     * Refusal by the service.
     *
     * @param code the status code of gRPC
     * @param message what was wrong
     */
    public record Failure(int code, String message) {}
}
