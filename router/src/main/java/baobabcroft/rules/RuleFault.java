package baobabcroft.rules;

import java.util.Optional;

/**
 * A fault in a rules file.
 *
 * @param line the line's number, counted from 1
 * @param column the column at which the faulty text starts, counted from 1
 * @param problem description of the fault
 * @param expected description of what is valid at this position
 * @param nearest the known word closest to the one found; empty if none is similar enough
 */
public record RuleFault(int line, int column, String problem, String expected, Optional<String> nearest) {
    @Override
    public String toString() {
        String hint = nearest.map(word -> "; did you mean '" + word + "'?").orElse("");
        return "line " + line + ", column " + column + ": " + problem + "; expected " + expected + hint;
    }
}
