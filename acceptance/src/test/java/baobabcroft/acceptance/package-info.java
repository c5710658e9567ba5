/** Acceptance scenarios, which run the router's binary in separate processes. */
package baobabcroft.acceptance;
