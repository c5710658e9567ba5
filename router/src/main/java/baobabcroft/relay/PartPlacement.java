package baobabcroft.relay;

import baobabcroft.directory.EndpointEntry;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The few endpoints that keep one shared prompt part: the first of a rendezvous ranking, on which all instances agree
 * without messages.
 *
 * <p>A request goes to the first place unless the wait there exceeds a bound, then to the second, then to the third. So
 * a part that is hot is read at three endpoints at the most because of its load, and a rare one at one. The object is
 * filled anew for each choice and allocates nothing for a candidate. Not thread-safe.
 */
final class PartPlacement {
    /** Places of a hot part. */
    static final int MAX_PLACES = 3;

    private final EndpointEntry[] places = new EndpointEntry[MAX_PLACES];
    private final long[] hashes = new long[MAX_PLACES];
    private int size;
    private int open;
    private long partHash;

    /** Starts the ranking for a part. */
    void start(String partId) {
        clear();
        partHash =
                Hashing.murmur3_128().hashString(partId, StandardCharsets.UTF_8).asLong();
    }

    /** Removes all places. */
    void clear() {
        Arrays.fill(places, null);
        size = 0;
        open = 0;
    }

    /**
     * Adds a candidate to the ranking.
     *
     * @param endpointHash hash of the endpoint's id
     */
    void offer(EndpointEntry endpoint, int endpointHash) {
        long hash = mix(endpointHash ^ partHash);
        int at = size;
        while (at > 0 && hash > hashes[at - 1]) {
            at--;
        }
        if (at == MAX_PLACES) {
            return;
        }
        size = Math.min(size + 1, MAX_PLACES);
        for (int i = size - 1; i > at; i--) {
            places[i] = places[i - 1];
            hashes[i] = hashes[i - 1];
        }
        places[at] = endpoint;
        hashes[at] = hash;
    }

    /** Returns the endpoint of a rank, 0 being the first. */
    EndpointEntry place(int rank) {
        return places[rank];
    }

    /** Returns the number of ranked places. */
    int size() {
        return size;
    }

    /** Opens the places up to a rank: those before it are busy. */
    void openUpTo(int rank) {
        open = Math.min(rank + 1, size);
    }

    /** Returns whether requests that need the part are sent to an endpoint, so that it is likely to be cached there. */
    boolean contains(EndpointEntry endpoint) {
        for (int i = 0; i < open; i++) {
            if (places[i].id().equals(endpoint.id())) {
                return true;
            }
        }
        return false;
    }

    /** Distributes the bits of a hash over all of its bits: the finalizer of MurmurHash3. */
    private static long mix(long hash) {
        long mixed = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
