/** Faults that the endpoints' stand-ins show when told to. */
package baobabcroft.standin.fault;
