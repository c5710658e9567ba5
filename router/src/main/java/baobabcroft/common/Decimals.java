package baobabcroft.common;

import com.google.common.base.CharMatcher;
import com.google.common.base.Splitter;
import java.util.List;
import java.util.OptionalDouble;

/** Decimal numbers in headers. */
public final class Decimals {
    private static final int MAX_DIGITS = 9;
    private static final CharMatcher DIGITS = CharMatcher.inRange('0', '9');

    private Decimals() {}

    /**
     * Returns a number without sign or exponent, which may have a fraction.
     *
     * @param text the text, possibly with spaces around the number
     * @return the number; empty for anything else
     */
    public static OptionalDouble parse(String text) {
        List<String> parts = Splitter.on('.').splitToList(text.strip());
        String whole = parts.get(0);
        String fraction = parts.size() == 2 ? parts.get(1) : "0";
        boolean isNumber = parts.size() <= 2
                && !whole.isEmpty()
                && !fraction.isEmpty()
                && whole.length() <= MAX_DIGITS
                && DIGITS.matchesAllOf(whole)
                && DIGITS.matchesAllOf(fraction);
        return isNumber ? OptionalDouble.of(Double.parseDouble(whole + '.' + fraction)) : OptionalDouble.empty();
    }
}
