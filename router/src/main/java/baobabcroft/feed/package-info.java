/**
 * Connections over which an instance passes the keys of the store on to its followers: {@link
 * baobabcroft.feed.FeedServer} and {@link baobabcroft.feed.FeedClient}. Messages are protobuf with a length prefix.
 * What is sent, and whom to follow, is decided in {@link baobabcroft.replica}.
 */
package baobabcroft.feed;
