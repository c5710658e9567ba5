/** Stand-ins for the systems that the router depends on. They are not part of the shipped binary. */
package baobabcroft.standin;
