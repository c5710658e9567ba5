/** Stand-in for the platform's list of live and leaving instances and endpoints. */
package baobabcroft.standin.live;
