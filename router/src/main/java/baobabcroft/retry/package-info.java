/** Decides whether a failed request is tried again, when, and how many retries the traffic allows. */
package baobabcroft.retry;
