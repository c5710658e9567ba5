/**
 * The rate of requests to endpoints that have just started or recovered, which all instances share without a
 * coordinator. {@link baobabcroft.pace.EndpointPace} is the entry point; {@link baobabcroft.pace.PacePlan} holds the
 * arithmetic.
 */
package baobabcroft.pace;
