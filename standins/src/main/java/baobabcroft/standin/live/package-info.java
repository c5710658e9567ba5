/** Stand-in of the platform's list of live and leaving instances and endpoints. */
package baobabcroft.standin.live;
