/**
 * Discrete-event simulation that runs the router's decision code in virtual time against simple engine models and
 * compares it with baseline policies.
 *
 * <p>{@link baobabcroft.experiment.ExperimentCommand} is the entry point.
 */
package baobabcroft.experiment;
