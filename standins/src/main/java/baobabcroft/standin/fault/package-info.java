/** Fault injection for the endpoints' stand-ins. */
package baobabcroft.standin.fault;
