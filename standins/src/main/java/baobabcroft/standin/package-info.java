/** Stand-ins of the systems that the router serves and uses, outside the shipped binary. */
package baobabcroft.standin;
