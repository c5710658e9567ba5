package baobabcroft.feed;

import baobabcroft.replica.FeedUpdate;

/** Sizes of the messages of a feed, for simulated links. */
public final class FeedMessageSizes {
    private final FeedEncoder encoder = new FeedEncoder();

    /** Returns the bytes that an update takes on a connection. */
    public long encodedBytes(FeedUpdate update) {
        return encoder.encode(update).getSerializedSize();
    }
}
