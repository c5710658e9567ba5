/** Decides whether and when a failed request is retried, and limits retries to a share of the traffic. */
package baobabcroft.retry;
