/**
 * A log of records in the key-value store of the platform. Records are distributed over slots, and each slot is written
 * by compare-and-swap.
 *
 * <p>{@link baobabcroft.slot.Slot} is the aggregate: an immutable value with the records of one slot. Every change is a
 * pure {@link baobabcroft.slot.Transition}; {@link baobabcroft.slot.SlotLog} collects the transitions of one slot and
 * commits them in one write. No instance owns a slot.
 */
package baobabcroft.slot;
