package baobabcroft.rules;

import java.util.Optional;

/**
 * A fault of a rules file.
 *
 * @param line the line's number, counted from 1
 * @param column the column, counted from 1
 * @param problem what is wrong
 * @param expected what should stand there
 * @param nearest the known word that is most like the one found, if one is alike
 */
public record RuleFault(int line, int column, String problem, String expected, Optional<String> nearest) {
    @Override
    public String toString() {
        String hint = nearest.map(word -> "; did you mean '" + word + "'?").orElse("");
        return "line " + line + ", column " + column + ": " + problem + "; expected " + expected + hint;
    }
}
