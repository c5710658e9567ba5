/** Remembers which requests made endpoints die, so that they are not tried again. */
package baobabcroft.poison;
