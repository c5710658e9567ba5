package baobabcroft.rules;

import baobabcroft.common.NearestWord;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Collects the faults found in one rules file. Not thread-safe. */
final class FaultCollector {
    private final List<RuleFault> faults = new ArrayList<>();

    void add(int line, int column, String problem, String expected) {
        faults.add(new RuleFault(line, column, problem, expected, Optional.empty()));
    }

    void addUnknown(int line, int column, String what, String found, Collection<String> known) {
        Optional<String> nearest = NearestWord.find(found, known);
        String expected = known.isEmpty() ? what + " declared by a rule, but no rule declares one" : oneOf(what, known);
        faults.add(new RuleFault(line, column, "unknown " + what + " '" + found + "'", expected, nearest));
    }

    private static String oneOf(String what, Collection<String> known) {
        if (known.size() > 12) {
            return "one of the " + known.size() + " declared names (" + what + ")";
        }
        return "one of " + String.join(", ", known);
    }

    boolean isEmpty() {
        return faults.isEmpty();
    }

    ImmutableList<RuleFault> sorted() {
        return ImmutableList.sortedCopyOf(
                Comparator.comparingInt(RuleFault::line).thenComparingInt(RuleFault::column), faults);
    }
}
