package baobabcroft.replica;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * What an instance that polls the store passes on to its followers.
 *
 * @param position the store's revision up to which the update is complete
 * @param complete whether the changes are the complete contents of the store, which replace all others
 * @param changes changes since the previous update; none in a heartbeat
 * @param contact whether the store answered the sender's last call
 * @param ageMillis age of the sender's view of the store, in milliseconds
 */
public record FeedUpdate(
        StoreRevision position, boolean complete, ImmutableList<KeyChange> changes, boolean contact, long ageMillis) {
    /** Validates the components. */
    public FeedUpdate {
        checkNotNull(position);
        checkNotNull(changes);
        checkArgument(ageMillis >= 0, "negative ageMillis: %s", ageMillis);
    }
}
