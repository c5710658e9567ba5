/** Stand-in of the service that rates answers. */
package baobabcroft.standin.rating;
