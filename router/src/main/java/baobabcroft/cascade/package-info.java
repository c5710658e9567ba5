/**
 * Chooses the model of a cascade that answers first, and when a dearer one is asked as well.
 *
 * <p>{@link baobabcroft.cascade.QualityLedger} gathers the ratings of all instances; {@link
 * baobabcroft.cascade.CascadePolicy} is what varies.
 */
package baobabcroft.cascade;
