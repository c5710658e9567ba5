/**
 * Token memory of model engines: what the requests at an endpoint hold or are going to hold, and whether another one
 * fits. An engine whose requests exceed its memory crashes, so the decision counts the requests of all instances. The
 * design is in docs/design/scarce-capacity.md.
 */
package baobabcroft.capacity;
