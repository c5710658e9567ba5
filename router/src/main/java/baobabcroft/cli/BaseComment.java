package baobabcroft.cli;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The first line of a rules file that an operator edits: a comment with the number of the configuration that the file
 * is based on, for example {@code # base: 7}. Stateless.
 */
final class BaseComment {
    private static final Pattern LINE = Pattern.compile("\\A# base: ([0-9]{1,18})\\R");

    private BaseComment() {}

    static Optional<Long> numberIn(String text) {
        Matcher matcher = LINE.matcher(text);
        return matcher.find() ? Optional.of(Long.valueOf(matcher.group(1))) : Optional.empty();
    }

    static String addTo(String text, long number) {
        return "# base: " + number + "\n" + removeFrom(text);
    }

    static String removeFrom(String text) {
        return LINE.matcher(text).replaceFirst("");
    }
}
