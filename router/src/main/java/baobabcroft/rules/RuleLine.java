package baobabcroft.rules;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.CharMatcher;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * One rule of a rules file, split into words but not validated. Immutable.
 *
 * @param number the line's number, counted from 1
 * @param kind the rule's first word, for example {@code account}
 * @param kindColumn column of the first word, counted from 1
 * @param name the rule's second word; an empty string if there is none
 * @param nameColumn column of the second word; if there is none, the column after the text before the comment
 * @param words the {@code key=value} words after the name, in the order of the line
 * @param author the part of the comment before the first colon; empty if the comment has no colon
 * @param reason the part of the comment after the first colon; empty if the comment has no colon
 * @param commentColumn column of the comment's {@code #}; if there is none, the column after the end of the line
 */
public record RuleLine(
        int number,
        String kind,
        int kindColumn,
        String name,
        int nameColumn,
        List<RuleWord> words,
        String author,
        String reason,
        int commentColumn) {
    private static final CharMatcher BLANK = CharMatcher.whitespace();

    /** Makes an immutable copy of the words. */
    public RuleLine {
        words = ImmutableList.copyOf(words);
    }

    /**
     * Returns the rules of a rules file, without blank lines and lines that hold only a comment.
     *
     * @param text the contents of the whole file
     * @return the rules in the order of the file
     */
    static ImmutableList<RuleLine> splitAll(String text) {
        List<String> lines = checkNotNull(text).lines().toList();
        ImmutableList.Builder<RuleLine> rules = ImmutableList.builder();
        for (int i = 0; i < lines.size(); i++) {
            split(i + 1, lines.get(i)).ifPresent(rules::add);
        }
        return rules.build();
    }

    private static Optional<RuleLine> split(int number, String line) {
        int hash = line.indexOf('#');
        String code = hash < 0 ? line : line.substring(0, hash);
        List<RuleWord> words = words(code);
        if (words.isEmpty()) {
            return Optional.empty();
        }
        String comment = hash < 0 ? "" : line.substring(hash + 1);
        int colon = comment.indexOf(':');
        RuleWord kind = words.get(0);
        RuleWord name = words.size() > 1 ? words.get(1) : new RuleWord("", "", code.length() + 1);
        return Optional.of(new RuleLine(
                number,
                fullText(kind),
                kind.column(),
                fullText(name),
                name.column(),
                words.subList(Math.min(2, words.size()), words.size()),
                colon < 0 ? "" : BLANK.trimFrom(comment.substring(0, colon)),
                colon < 0 ? "" : BLANK.trimFrom(comment.substring(colon + 1)),
                hash < 0 ? line.length() + 1 : hash + 1));
    }

    private static String fullText(RuleWord word) {
        return word.value().isEmpty() ? word.key() : word.toString();
    }

    private static List<RuleWord> words(String code) {
        List<RuleWord> words = new ArrayList<>();
        int start = 0;
        while (start < code.length()) {
            if (BLANK.matches(code.charAt(start))) {
                start++;
                continue;
            }
            int blank = BLANK.indexIn(code, start);
            int end = blank < 0 ? code.length() : blank;
            words.add(word(code.substring(start, end), start + 1));
            start = end;
        }
        return words;
    }

    private static RuleWord word(String text, int column) {
        int equals = text.indexOf('=');
        if (equals < 0) {
            return new RuleWord(text, "", column);
        }
        return new RuleWord(text.substring(0, equals), text.substring(equals + 1), column);
    }

    /**
     * Returns the first word with the given key.
     *
     * @param key the part before the equals sign
     * @return the word, or empty if no word has this key
     */
    public Optional<RuleWord> word(String key) {
        return words.stream().filter(word -> word.key().equals(key)).findFirst();
    }

    /**
     * Returns the rule's kind and name, which together identify the rule within a file.
     *
     * @return for example {@code account kovacic-shop}
     */
    public String qualifiedName() {
        return kind + " " + name;
    }

    /**
     * Returns the rule as a line of a rules file, including its comment.
     *
     * @return the line, with single spaces between words and without a line separator
     */
    public String render() {
        StringBuilder line = new StringBuilder(qualifiedName());
        words.forEach(word -> line.append(' ').append(word));
        return line.append(" # ").append(author).append(": ").append(reason).toString();
    }
}
