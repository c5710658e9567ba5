/** Stand-in for a plain service that counts the runs of each request. */
package baobabcroft.standin.service;
