/**
 * Admission control: starts, queues or refuses requests by deadline, priority and account.
 *
 * <p>{@link baobabcroft.admission.AdmissionQueue} is the entry point; there is one for each pool of endpoints.
 */
package baobabcroft.admission;
