package baobabcroft.rules;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** What became of one rule between two rules files. */
public sealed interface RuleChange {
    /**
     * Returns the change for people to read.
     *
     * @return one line
     */
    String render();

    /**
     * The rule is new.
     *
     * @param line the rule
     */
    record Added(RuleLine line) implements RuleChange {
        @Override
        public String render() {
            return "+ " + line.render();
        }
    }

    /**
     * The rule is gone.
     *
     * @param line the rule
     */
    record Removed(RuleLine line) implements RuleChange {
        @Override
        public String render() {
            return "- " + line.render();
        }
    }

    /**
     * The rule says something else.
     *
     * @param before the rule in the old file
     * @param after the rule in the new file
     * @param words the words that differ
     */
    record Changed(RuleLine before, RuleLine after, List<WordChange> words) implements RuleChange {
        /** Copies the words. */
        public Changed {
            words = ImmutableList.copyOf(words);
        }

        @Override
        public String render() {
            StringBuilder text = new StringBuilder("~ ").append(after.title());
            words.forEach(word -> text.append(' ').append(word.render()));
            return text.append(" # ")
                    .append(after.author())
                    .append(": ")
                    .append(after.reason())
                    .toString();
        }
    }

    /**
     * A word that differs.
     *
     * @param key the word's key; {@code comment} for the comment
     * @param before the old value; empty if the word is new
     * @param after the new value; empty if the word is gone
     */
    record WordChange(String key, String before, String after) {
        /**
         * Returns the change for people to read.
         *
         * @return for example {@code share=95->90}
         */
        public String render() {
            return key + "=" + (before.isEmpty() ? "(none)" : before) + "->" + (after.isEmpty() ? "(none)" : after);
        }
    }
}
