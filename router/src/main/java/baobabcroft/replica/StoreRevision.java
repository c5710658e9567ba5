package baobabcroft.replica;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ComparisonChain;

/**
 * A position in the history of the store. The store assigns the same number again in a later era, so numbers are
 * compared within one era only; everything in a later era comes after everything in an earlier one.
 *
 * @param era number of times that the store has returned from a copy, as the store counts it
 * @param number revision number within the era; 0 stands for a key that does not exist
 */
public record StoreRevision(long era, long number) implements Comparable<StoreRevision> {
    private static final long ABSENT = 0;

    /** Validates the components. */
    public StoreRevision {
        checkArgument(era >= 0, "negative era: %s", era);
        checkArgument(number >= 0, "negative revision number: %s", number);
    }

    /**
     * Returns the revision of a key that does not exist.
     *
     * @param era the era in which it does not exist
     * @return the revision to expect when the key is created
     */
    public static StoreRevision absent(long era) {
        return new StoreRevision(era, ABSENT);
    }

    /**
     * Returns whether this position comes after another one.
     *
     * @param other the position to compare with
     * @return true if this era is later, or the eras are equal and this number is greater
     */
    public boolean isAfter(StoreRevision other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(StoreRevision other) {
        return ComparisonChain.start()
                .compare(era, other.era)
                .compare(number, other.number)
                .result();
    }

    @Override
    public String toString() {
        return era + ":" + number;
    }
}
