package baobabcroft.common;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Finds the known word closest to a misspelt one, by Levenshtein distance. Stateless and thread-safe. */
public final class NearestWord {
    private static final int MAX_LENGTH = 128;

    private NearestWord() {}

    /**
     * Returns the known word with the smallest edit distance to a given word.
     *
     * @param found the word to correct
     * @param known the valid words
     * @return the nearest word, the first in alphabetical order among equals; empty if the distance is greater than
     *     both two and a third of the longer word's length, or if the given word is empty or longer than 128
     *     characters
     */
    public static Optional<String> find(String found, Collection<String> known) {
        if (found.isEmpty() || found.length() > MAX_LENGTH) {
            return Optional.empty();
        }
        return known.stream()
                .filter(word -> word.length() <= MAX_LENGTH)
                .map(word -> new Candidate(word, distance(found, word)))
                .filter(candidate -> candidate.distance() <= tolerance(found, candidate.word()))
                .min(Comparator.comparingInt(Candidate::distance).thenComparing(Candidate::word))
                .map(Candidate::word);
    }

    private record Candidate(String word, int distance) {}

    private static int tolerance(String found, String word) {
        return Math.max(2, Math.max(found.length(), word.length()) / 3);
    }

    private static int distance(String a, String b) {
        int[] previous = new int[b.length() + 1];
        int[] current = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            previous[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            current[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int substitution = previous[j - 1] + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                current[j] = Math.min(substitution, 1 + Math.min(previous[j], current[j - 1]));
            }
            int[] swap = previous;
            previous = current;
            current = swap;
        }
        return previous[b.length()];
    }
}
