package baobabcroft.rules;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The differences between two rules files, rule by rule. The order of lines and of words and the amount of white space
 * are ignored. Immutable.
 *
 * @param changes removed and changed rules in the order of the old file, then added rules in the order of the new file
 */
public record RulesDiff(List<RuleChange> changes) {
    /** Makes an immutable copy of the changes. */
    public RulesDiff {
        changes = ImmutableList.copyOf(changes);
    }

    /**
     * Returns the differences between two rules files. The files need not be valid.
     *
     * @param oldText the contents of the old file
     * @param newText the contents of the new file
     * @return the differences; empty if both files hold the same rules
     */
    public static RulesDiff between(String oldText, String newText) {
        Map<String, RuleLine> before = byQualifiedName(oldText);
        Map<String, RuleLine> after = byQualifiedName(newText);
        ImmutableList.Builder<RuleChange> changes = ImmutableList.builder();
        before.forEach((name, line) -> {
            RuleLine now = after.get(name);
            if (now == null) {
                changes.add(new RuleChange.Removed(line));
                return;
            }
            List<RuleChange.WordChange> words = wordChanges(line, now);
            if (!words.isEmpty()) {
                changes.add(new RuleChange.Changed(line, now, words));
            }
        });
        after.values().stream()
                .filter(line -> !before.containsKey(line.qualifiedName()))
                .forEach(line -> changes.add(new RuleChange.Added(line)));
        return new RulesDiff(changes.build());
    }

    private static Map<String, RuleLine> byQualifiedName(String text) {
        Map<String, RuleLine> lines = new LinkedHashMap<>();
        RuleLine.splitAll(text).forEach(line -> lines.put(line.qualifiedName(), line));
        return lines;
    }

    private static List<RuleChange.WordChange> wordChanges(RuleLine before, RuleLine after) {
        Stream<RuleChange.WordChange> words = Sets.union(keys(before), keys(after)).stream()
                .map(key -> new RuleChange.WordChange(key, value(before, key), value(after, key)));
        RuleChange.WordChange comment = new RuleChange.WordChange("comment", comment(before), comment(after));
        return Stream.concat(words, Stream.of(comment))
                .filter(change -> !change.before().equals(change.after()))
                .toList();
    }

    private static ImmutableSet<String> keys(RuleLine line) {
        return line.words().stream().map(RuleWord::key).collect(ImmutableSet.toImmutableSet());
    }

    private static String value(RuleLine line, String key) {
        return line.word(key).map(RuleWord::value).orElse("");
    }

    private static String comment(RuleLine line) {
        return line.author() + ": " + line.reason();
    }

    /**
     * Returns whether the files hold the same rules.
     *
     * @return true if there is no change
     */
    public boolean isEmpty() {
        return changes.isEmpty();
    }

    /**
     * Returns the differences as readable text.
     *
     * @return one line for each change, without a final line separator, or a message if there is none
     */
    public String render() {
        if (isEmpty()) {
            return "no rule differs";
        }
        return changes.stream().map(RuleChange::render).collect(Collectors.joining("\n"));
    }
}
