/**
 * Starts, queues or refuses requests by deadline, class and account when endpoints have no room.
 *
 * <p>{@link baobabcroft.admission.AdmissionQueue} is the aggregate; there is one for each pool of endpoints.
 */
package baobabcroft.admission;
