/**
 * Model cascades: chooses the model that answers first, and when a more expensive one answers as well.
 *
 * <p>{@link baobabcroft.cascade.QualityLedger} collects the ratings of all instances; {@link
 * baobabcroft.cascade.CascadePolicy} is the exchangeable strategy.
 */
package baobabcroft.cascade;
