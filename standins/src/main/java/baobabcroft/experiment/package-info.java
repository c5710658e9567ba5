/**
 * Drives the router's decision code in virtual time against small engine models, and measures it against baselines.
 *
 * <p>{@link baobabcroft.experiment.ExperimentCommand} is the entry point.
 */
package baobabcroft.experiment;
