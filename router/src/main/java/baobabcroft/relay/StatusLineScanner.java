package baobabcroft.relay;

/**
 * Searches bytes that arrive in parts for the status line of an HTTP/1 response, up to its status. The time grows with
 * the number of the bytes only, whatever they are. Not thread-safe.
 */
public final class StatusLineScanner {
    /** First byte of a status line, which occurs nowhere else in one. */
    public static final byte FIRST_BYTE = 'H';

    private static final String PROTOCOL = "HTTP/1.";
    private static final int MINOR_VERSION_INDEX = PROTOCOL.length();
    private static final int SPACE_INDEX = MINOR_VERSION_INDEX + 1;
    private static final int STATUS_DIGITS = 3;
    private static final int LENGTH = SPACE_INDEX + 1 + STATUS_DIGITS;

    /** Bytes at the end of those scanned that begin a status line. */
    private int matched;

    private boolean found;

    /** Creates a scanner that has scanned nothing. */
    public StatusLineScanner() {}

    /** Forgets what was scanned. */
    public void reset() {
        matched = 0;
        found = false;
    }

    /**
     * Scans the next byte.
     *
     * @param next the byte
     * @return whether a status line was found, now or before
     */
    public boolean scan(byte next) {
        if (!found && !advance(next)) {
            // As the first byte does not occur again, only this byte can begin another match.
            matched = 0;
            advance(next);
        }
        return found;
    }

    /**
     * Scans a byte that has to continue what was matched so far.
     *
     * @param next the byte
     * @return whether the bytes scanned so far end with a status line or its beginning
     */
    public boolean advance(byte next) {
        if (found) {
            return true;
        }
        if (!matches(matched, next)) {
            return false;
        }
        matched++;
        found = matched == LENGTH;
        return true;
    }

    /**
     * Returns whether a status line was found.
     *
     * @return whether one was found since the last reset
     */
    public boolean isFound() {
        return found;
    }

    /**
     * Returns whether a status line was found, or the bytes end with the beginning of one.
     *
     * @return whether the bytes may hold the head of a response or a part of it
     */
    public boolean isFoundOrBegun() {
        return found || matched > 0;
    }

    private static boolean matches(int index, byte value) {
        if (index < MINOR_VERSION_INDEX) {
            return value == PROTOCOL.charAt(index);
        }
        if (index == MINOR_VERSION_INDEX) {
            return value == '0' || value == '1';
        }
        return index == SPACE_INDEX ? value == ' ' : value >= '0' && value <= '9';
    }
}
