/**
 * One entry instance of the traffic path: puts the relay, the transport and what is known of the deployment together.
 *
 * <p>{@link baobabcroft.instance.EntryInstance} is the composition root; a face hands it its settings, its dialect and
 * its source of configuration.
 */
package baobabcroft.instance;
