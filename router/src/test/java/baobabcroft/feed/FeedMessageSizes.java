package baobabcroft.feed;

import baobabcroft.replica.FeedUpdate;

/** Sizes of the messages of a feed, for simulated links. */
public final class FeedMessageSizes {
    private FeedMessageSizes() {}

    /** Returns the bytes that an update takes on a connection. */
    public static long encodedBytes(FeedUpdate update) {
        return FeedCodec.toMessage(update).getSerializedSize();
    }
}
