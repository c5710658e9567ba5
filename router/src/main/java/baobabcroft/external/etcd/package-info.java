/**
 * Adapter to a key-value service that speaks the v3 JSON gateway of etcd.
 *
 * <p>It uses the client of {@code java.net.http}, which reports a connection that could not be opened by exceptions of
 * its own and never repeats a POST: a pooled client that queues requests behind connection attempts cannot tell a write
 * that was not sent from one that may have been.
 */
package baobabcroft.external.etcd;
