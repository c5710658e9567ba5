/** Stand-in for the service that rates answers. */
package baobabcroft.standin.rating;
