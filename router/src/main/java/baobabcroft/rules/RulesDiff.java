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
 * Difference between two rules files, rule by rule. The order of lines and of words does not count.
 *
 * @param changes the changes: those of the old file's rules in its order, then the added rules
 */
public record RulesDiff(List<RuleChange> changes) {
    /** Copies the changes. */
    public RulesDiff {
        changes = ImmutableList.copyOf(changes);
    }

    /**
     * Compares two rules files, which may have faults.
     *
     * @param oldText the old file
     * @param newText the new file
     * @return the difference
     */
    public static RulesDiff between(String oldText, String newText) {
        Map<String, RuleLine> before = byTitle(oldText);
        Map<String, RuleLine> after = byTitle(newText);
        ImmutableList.Builder<RuleChange> changes = ImmutableList.builder();
        before.forEach((title, line) -> {
            RuleLine now = after.get(title);
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
                .filter(line -> !before.containsKey(line.title()))
                .forEach(line -> changes.add(new RuleChange.Added(line)));
        return new RulesDiff(changes.build());
    }

    private static Map<String, RuleLine> byTitle(String text) {
        Map<String, RuleLine> lines = new LinkedHashMap<>();
        RuleLine.splitAll(text).forEach(line -> lines.put(line.title(), line));
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
     * @return whether there is no change
     */
    public boolean isEmpty() {
        return changes.isEmpty();
    }

    /**
     * Returns the difference for people to read.
     *
     * @return one line a change, or a line that says that there is none
     */
    public String render() {
        if (isEmpty()) {
            return "no rule differs";
        }
        return changes.stream().map(RuleChange::render).collect(Collectors.joining("\n"));
    }
}
