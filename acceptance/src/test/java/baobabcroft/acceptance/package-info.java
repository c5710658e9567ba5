/** Scenarios with the real binary as separate processes. */
package baobabcroft.acceptance;
