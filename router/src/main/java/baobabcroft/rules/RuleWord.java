package baobabcroft.rules;

/**
 * A {@code key=value} word of a rule.
 *
 * @param key what stands before the equals sign, or the whole word if it has none
 * @param value what stands after the equals sign; empty if there is none
 * @param column column of the key's first character, counted from 1
 */
public record RuleWord(String key, String value, int column) {
    /**
     * Returns where the value starts.
     *
     * @return column of the value's first character, or of the key's if there is no value
     */
    public int valueColumn() {
        return value.isEmpty() ? column : column + key.length() + 1;
    }

    @Override
    public String toString() {
        return key + "=" + value;
    }
}
