package baobabcroft.rules;

/**
 * A {@code key=value} word of a rule, or one item of a comma-separated value. Immutable.
 *
 * @param key the text before the first equals sign, or the whole text if it has none
 * @param value the text after the first equals sign; empty if there is none
 * @param column column of the key's first character, counted from 1
 */
public record RuleWord(String key, String value, int column) {
    /**
     * Returns the column at which the value starts, counted from 1.
     *
     * @return the column of the value's first character, or of the key's if there is no value
     */
    public int valueColumn() {
        return value.isEmpty() ? column : column + key.length() + 1;
    }

    @Override
    public String toString() {
        return key + "=" + value;
    }
}
