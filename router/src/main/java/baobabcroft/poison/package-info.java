/** Records which requests crashed endpoints, so that those requests are not retried. */
package baobabcroft.poison;
