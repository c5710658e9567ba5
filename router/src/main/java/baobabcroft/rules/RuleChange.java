package baobabcroft.rules;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** A difference in one rule between two rules files: added, removed or changed. */
public sealed interface RuleChange {
    /**
     * Returns the change as readable text.
     *
     * @return one line, without a line separator
     */
    String render();

    /**
     * A rule that only the new file holds.
     *
     * @param line the rule in the new file
     */
    record Added(RuleLine line) implements RuleChange {
        @Override
        public String render() {
            return "+ " + line.render();
        }
    }

    /**
     * A rule that only the old file holds.
     *
     * @param line the rule in the old file
     */
    record Removed(RuleLine line) implements RuleChange {
        @Override
        public String render() {
            return "- " + line.render();
        }
    }

    /**
     * A rule that both files hold with different values, or with different comments.
     *
     * @param before the rule in the old file
     * @param after the rule in the new file
     * @param words the words that differ; the comment counts as one word
     */
    record Changed(RuleLine before, RuleLine after, List<WordChange> words) implements RuleChange {
        /** Makes an immutable copy of the words. */
        public Changed {
            words = ImmutableList.copyOf(words);
        }

        @Override
        public String render() {
            StringBuilder text = new StringBuilder("~ ").append(after.qualifiedName());
            words.forEach(word -> text.append(' ').append(word.render()));
            return text.append(" # ")
                    .append(after.author())
                    .append(": ")
                    .append(after.reason())
                    .toString();
        }
    }

    /**
     * A {@code key=value} word that differs.
     *
     * @param key the word's key; {@code comment} for the comment
     * @param before the old value; empty if only the new rule has the key
     * @param after the new value; empty if only the old rule has the key
     */
    record WordChange(String key, String before, String after) {
        /**
         * Returns the change as readable text.
         *
         * @return for example {@code share=95->90}
         */
        public String render() {
            return key + "=" + (before.isEmpty() ? "(none)" : before) + "->" + (after.isEmpty() ? "(none)" : after);
        }
    }
}
