package baobabcroft.standin.kv;

import baobabcroft.external.etcd.EtcdMessages;
import com.google.protobuf.ByteString;
import java.util.Comparator;

/**
 * Range of keys, as in etcd range requests.
 *
 * @param first the first key of the range
 * @param end the exclusive upper bound; empty for the single key {@code first}, {@code OPEN_END} for no upper bound
 */
record KeyRange(ByteString first, ByteString end) {
    private static final Comparator<ByteString> ORDER = ByteString.unsignedLexicographicalComparator();

    boolean contains(ByteString key) {
        if (end.isEmpty()) {
            return key.equals(first);
        }
        return ORDER.compare(key, first) >= 0 && (end.equals(EtcdMessages.OPEN_END) || ORDER.compare(key, end) < 0);
    }
}
