/**
 * A log of records in the platform's store, spread over slots and written by compare-and-swap alone.
 *
 * <p>{@link baobabcroft.slot.Slot} is the aggregate: an immutable value with the records of one slot. Every change is a
 * pure {@link baobabcroft.slot.Transition}; {@link baobabcroft.slot.SlotLog} gathers transitions of one slot and
 * commits them in one write. No instance owns a slot.
 */
package baobabcroft.slot;
