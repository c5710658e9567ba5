/** Entry point of the router; start at {@link baobabcroft.Main}. */
package baobabcroft;
