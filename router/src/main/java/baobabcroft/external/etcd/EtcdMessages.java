package baobabcroft.external.etcd;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.util.List;

/** Messages of the v3 JSON gateway of etcd: the subset that the router and its tests use. */
public final class EtcdMessages {
    /** Range end that selects all keys from the start of the range on. */
    public static final ByteString OPEN_END = ByteString.copyFrom(new byte[] {0});

    private EtcdMessages() {}

    /**
     * Returns the end of the range of all keys that start with a prefix.
     *
     * @param prefix the prefix, not empty
     * @return the least key that is greater than all of them
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
     * Header of each response.
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
     * @param version number of writes since it was created
     * @param value the value
     * @param lease the lease that deletes it, or zero
     */
    public record KeyValue(
            ByteString key, long createRevision, long modRevision, long version, ByteString value, long lease) {}

    /**
     * Request to read a range of keys.
     *
     * @param key first key
     * @param rangeEnd end of the range, or empty for one key
     */
    public record RangeRequest(ByteString key, ByteString rangeEnd) {}

    /**
     * Response to a range request.
     *
     * @param header the header
     * @param kvs the keys found
     * @param count number of keys found
     */
    public record RangeResponse(Header header, List<KeyValue> kvs, long count) {
        /** Replaces absent components by their defaults. */
        public RangeResponse {
            header = orZero(header);
            kvs = orEmpty(kvs);
        }
    }

    /**
     * Request to write a key.
     *
     * @param key the key
     * @param value the value
     * @param lease the lease that deletes it, or zero
     */
    public record PutRequest(ByteString key, ByteString value, long lease) {}

    /**
     * Response to a write.
     *
     * @param header the header
     */
    public record PutResponse(Header header) {}

    /**
     * Request to delete a range of keys.
     *
     * @param key first key
     * @param rangeEnd end of the range, or empty for one key
     */
    public record DeleteRangeRequest(ByteString key, ByteString rangeEnd) {}

    /**
     * Response to a deletion.
     *
     * @param header the header
     * @param deleted number of keys deleted
     */
    public record DeleteRangeResponse(Header header, long deleted) {}

    /** Attribute of a key that a condition compares. */
    public enum CompareTarget {
        /** Number of writes since it was created. */
        VERSION,
        /** Revision at which it was created; zero if it does not exist. */
        CREATE,
        /** Revision of its last write; zero if it does not exist. */
        MOD
    }

    /** Comparison operator of a condition. */
    public enum CompareResult {
        /** The key's attribute equals the condition's value. */
        EQUAL,
        /** The key's attribute is greater. */
        GREATER,
        /** The key's attribute is less. */
        LESS,
        /** The key's attribute differs. */
        NOT_EQUAL
    }

    /**
     * Condition of a transaction.
     *
     * @param result comparison operator
     * @param target attribute to compare
     * @param key the key
     * @param version value for {@link CompareTarget#VERSION}
     * @param createRevision value for {@link CompareTarget#CREATE}
     * @param modRevision value for {@link CompareTarget#MOD}
     */
    public record Compare(
            CompareResult result,
            CompareTarget target,
            ByteString key,
            long version,
            long createRevision,
            long modRevision) {
        /** Replaces absent components by their defaults. */
        public Compare {
            result = result == null ? CompareResult.EQUAL : result;
            target = target == null ? CompareTarget.VERSION : target;
        }
    }

    /**
     * Operation of a transaction; one component is set, the others are null.
     *
     * @param requestRange a read
     * @param requestPut a write
     * @param requestDeleteRange a deletion
     */
    public record RequestOp(RangeRequest requestRange, PutRequest requestPut, DeleteRangeRequest requestDeleteRange) {}

    /**
     * Response to an operation of a transaction; one component is set, the others are null.
     *
     * @param responseRange response to a read
     * @param responsePut response to a write
     * @param responseDeleteRange response to a deletion
     */
    public record ResponseOp(
            RangeResponse responseRange, PutResponse responsePut, DeleteRangeResponse responseDeleteRange) {}

    /**
     * Request for a transaction: operations applied at one revision, chosen by conditions.
     *
     * @param compare the conditions
     * @param success operations applied if all conditions are true
     * @param failure operations applied otherwise
     */
    public record TxnRequest(List<Compare> compare, List<RequestOp> success, List<RequestOp> failure) {
        /** Replaces absent components by their defaults. */
        public TxnRequest {
            compare = orEmpty(compare);
            success = orEmpty(success);
            failure = orEmpty(failure);
        }
    }

    /**
     * Response to a transaction.
     *
     * @param header the header
     * @param succeeded whether all conditions were true
     * @param responses responses to the applied operations
     */
    public record TxnResponse(Header header, boolean succeeded, List<ResponseOp> responses) {
        /** Replaces absent components by their defaults. */
        public TxnResponse {
            header = orZero(header);
            responses = orEmpty(responses);
        }
    }

    /**
     * Request for a lease.
     *
     * @param ttlSeconds time to live, in seconds
     * @param id its identifier, or zero to let the service choose
     */
    public record LeaseGrantRequest(@JsonProperty("TTL") long ttlSeconds, @JsonProperty("ID") long id) {}

    /**
     * Request to renew or revoke a lease.
     *
     * @param id the lease
     */
    public record LeaseRequest(@JsonProperty("ID") long id) {}

    /**
     * State of a lease.
     *
     * @param header the header
     * @param id the lease
     * @param ttlSeconds time to live, in seconds; zero if the lease does not exist any more
     */
    public record LeaseResponse(Header header, @JsonProperty("ID") long id, @JsonProperty("TTL") long ttlSeconds) {}

    /**
     * Response to a renewal, delivered on a stream.
     *
     * @param result the lease's state
     */
    public record LeaseKeepAliveResponse(LeaseResponse result) {}

    /**
     * Request to open a watch.
     *
     * @param createRequest the keys to watch
     */
    public record WatchRequest(WatchCreateRequest createRequest) {}

    /**
     * Keys and start revision of a watch.
     *
     * @param key first key
     * @param rangeEnd end of the range, or empty for one key
     * @param startRevision first revision to report, or zero for the one after the current
     */
    public record WatchCreateRequest(ByteString key, ByteString rangeEnd, long startRevision) {}

    /**
     * One line of a watch stream.
     *
     * @param result its content
     */
    public record WatchLine(WatchResponse result) {}

    /**
     * Content of one line of a watch stream.
     *
     * @param header the header
     * @param created whether this line confirms that the watch was established
     * @param canceled whether this line ends the watch
     * @param compactRevision least revision still available, if the watch was to start before it
     * @param events the changes
     */
    public record WatchResponse(
            Header header, boolean created, boolean canceled, long compactRevision, List<Event> events) {
        /** Replaces absent components by their defaults. */
        public WatchResponse {
            header = orZero(header);
            events = orEmpty(events);
        }
    }

    /** Kind of a change. */
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
     * @param kv the key after the change; for a deletion, only its name and the revision of the deletion
     */
    public record Event(EventType type, KeyValue kv) {
        /** Replaces absent components by their defaults. */
        public Event {
            type = type == null ? EventType.PUT : type;
        }
    }

    /**
     * Error response of the service.
     *
     * @param code the gRPC status code
     * @param message description of the error
     */
    public record Failure(int code, String message) {}
}
