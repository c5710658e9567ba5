/**
 * Adapter to a key-value service that offers the v3 JSON gateway of etcd.
 *
 * <p>It uses the client of {@code java.net.http}, which reports a connection that could not be opened by distinct
 * exception types and never retries a POST. With a pooled client that queues requests behind connection attempts, a
 * write that was not sent cannot be distinguished from one that may have been sent.
 */
package baobabcroft.external.etcd;
