/** Stand-in of a plain service that counts how often each request ran. */
package baobabcroft.standin.service;
