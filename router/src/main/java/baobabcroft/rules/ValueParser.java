package baobabcroft.rules;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.math.BigDecimal;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses the typed values of one rule's words. A missing, empty or invalid value gives an empty result; an invalid
 * value is also reported as a fault. Not thread-safe.
 */
final class ValueParser {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern WHOLE_NUMBER = Pattern.compile("[0-9]{1,10}");
    private static final Pattern PRICE = Pattern.compile("[0-9]{1,6}(\\.[0-9]{1,6})?");
    private static final Pattern FRACTION = Pattern.compile("[01](\\.[0-9]{1,9})?");
    private static final Pattern DURATION = Pattern.compile("([0-9]{1,7})(ms|s)");
    private static final int MICRO_DIGITS = 6;
    private static final long MAX_DURATION_MILLIS = 3_600_000;
    private static final ImmutableMap<String, Boolean> YES_OR_NO = ImmutableMap.of("yes", true, "no", false);

    private final RuleLine line;
    private final FaultCollector faults;

    ValueParser(RuleLine line, FaultCollector faults) {
        this.line = line;
        this.faults = faults;
    }

    static boolean isName(String text) {
        return NAME.matcher(text).matches();
    }

    Optional<String> name(String key) {
        return matching(key, ValueParser::isName, "a name of at most 64 letters, digits, '.', '_' and '-'");
    }

    Optional<String> sha256(String key) {
        return matching(key, text -> SHA256.matcher(text).matches(), "64 lower-case hexadecimal digits");
    }

    private Optional<String> matching(String key, Predicate<String> test, String expected) {
        Optional<RuleWord> word = nonEmptyWord(key);
        if (word.isEmpty()) {
            return Optional.empty();
        }
        if (test.test(word.get().value())) {
            return word.map(RuleWord::value);
        }
        return reportInvalid(word.get(), expected);
    }

    Optional<Long> longInRange(String key, long min, long max) {
        String expected = "a whole number from " + min + " to " + max;
        Predicate<String> test = text ->
                WHOLE_NUMBER.matcher(text).matches() && Long.parseLong(text) >= min && Long.parseLong(text) <= max;
        return matching(key, test, expected).map(Long::valueOf);
    }

    Optional<Integer> intInRange(String key, int min, int max) {
        return longInRange(key, min, max).map(Math::toIntExact);
    }

    Optional<Long> priceMicros(String key) {
        String expected = "a decimal number of currency units below 1000000 with at most 6 decimals, such as 0.25";
        return matching(key, text -> PRICE.matcher(text).matches(), expected)
                .map(text -> new BigDecimal(text).movePointRight(MICRO_DIGITS).longValueExact());
    }

    Optional<Double> fraction(String key) {
        Predicate<String> test = text -> FRACTION.matcher(text).matches() && Double.parseDouble(text) <= 1;
        return matching(key, test, "a decimal number from 0 to 1, such as 0.85").map(Double::valueOf);
    }

    Optional<Long> durationMillis(String key) {
        Predicate<String> test = text -> parseMillis(text)
                .filter(millis -> millis >= 1 && millis <= MAX_DURATION_MILLIS)
                .isPresent();
        return matching(key, test, "a duration from 1ms to 3600s, such as 200ms or 5s")
                .flatMap(ValueParser::parseMillis);
    }

    private static Optional<Long> parseMillis(String text) {
        Matcher matcher = DURATION.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        long count = Long.parseLong(matcher.group(1));
        return Optional.of(matcher.group(2).equals("ms") ? count : count * 1000);
    }

    Optional<Boolean> yesOrNo(String key) {
        return choice(key, YES_OR_NO);
    }

    Optional<VersionState> state(String key) {
        ImmutableMap.Builder<String, VersionState> states = ImmutableMap.builder();
        for (VersionState state : VersionState.values()) {
            states.put(state.name().toLowerCase(Locale.ROOT), state);
        }
        return choice(key, states.buildOrThrow());
    }

    <T> Optional<T> choice(String key, ImmutableMap<String, T> choices) {
        Optional<RuleWord> word = nonEmptyWord(key);
        if (word.isEmpty()) {
            return Optional.empty();
        }
        Optional<T> chosen = Optional.ofNullable(choices.get(word.get().value()));
        if (chosen.isEmpty()) {
            int column = word.get().valueColumn();
            faults.addUnknown(line.number(), column, key, word.get().value(), choices.keySet());
        }
        return chosen;
    }

    Optional<HostAndPort> address(String key) {
        String expected = "an IP address and a port from 1 to 65535, such as 127.0.0.1:7101";
        return matching(key, text -> parseAddress(text).isPresent(), expected).flatMap(ValueParser::parseAddress);
    }

    private static Optional<HostAndPort> parseAddress(String text) {
        try {
            HostAndPort address = HostAndPort.fromString(text);
            boolean valid =
                    address.hasPort() && address.getPort() > 0 && InetAddresses.isInetAddress(address.getHost());
            return valid ? Optional.of(address) : Optional.empty();
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns the items of a comma-separated value, each with its own column. Empty and repeated items are left out and
     * reported as faults.
     */
    ImmutableList<RuleWord> items(String key) {
        Optional<RuleWord> word = nonEmptyWord(key);
        if (word.isEmpty()) {
            return ImmutableList.of();
        }
        ImmutableList.Builder<RuleWord> items = ImmutableList.builder();
        Set<String> seen = new HashSet<>();
        int column = word.get().valueColumn();
        for (String item : Splitter.on(',').split(word.get().value())) {
            if (item.isEmpty()) {
                faults.add(line.number(), column, "empty name in " + key, "names separated by single commas");
            } else if (!seen.add(item)) {
                faults.add(line.number(), column, "'" + item + "' appears twice in " + key, "each name at most once");
            } else {
                items.add(new RuleWord(item, "", column));
            }
            column += item.length() + 1;
        }
        return items.build();
    }

    private Optional<RuleWord> nonEmptyWord(String key) {
        return line.word(key).filter(word -> !word.value().isEmpty());
    }

    private <T> Optional<T> reportInvalid(RuleWord word, String expected) {
        faults.add(line.number(), word.valueColumn(), word.key() + " is '" + word.value() + "'", expected);
        return Optional.empty();
    }
}
