package baobabcroft.replica;

import baobabcroft.external.WriteResult;
import com.google.protobuf.ByteString;
import java.util.function.Consumer;

/** Writes keys of the store. */
public interface SharedKeyWriter {
    /**
     * Writes a key if it is still at the expected revision of the store's current era. With a revision of another era,
     * nothing is sent. A write that the store turns out to have applied in another era is {@link WriteResult.Unknown}.
     *
     * @param key the key
     * @param expected the revision last seen, or {@link StoreRevision#absent}
     * @param value the new value
     * @param callback receives the outcome; may be called before this method returns
     */
    void compareAndSwap(String key, StoreRevision expected, ByteString value, Consumer<WriteResult> callback);
}
