/**
 * Whether this instance reaches the endpoints at all. {@link baobabcroft.reach.EndpointReachability} tells endpoints
 * that fail from an instance that is cut off from all of them.
 */
package baobabcroft.reach;
