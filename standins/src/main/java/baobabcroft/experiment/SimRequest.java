package baobabcroft.experiment;

import java.util.List;

/**
 * A request of the workload, with what only the experiment knows of it.
 *
 * @param id its number
 * @param arrivalMillis when the caller sends it, in milliseconds of virtual time
 * @param account the client account's index; the first ones are the large ones
 * @param priority the account's class
 * @param instance index of the entry instance that it comes through
 * @param promptTokens length of the prompt
 * @param freshTokens part of the prompt that follows the prefix it shares with others
 * @param prefixDigest digest of the shared prefix
 * @param outputTokens length of the answer
 * @param maxTokens bound on the answer's length that the caller gave
 * @param deadlineMillis time from its arrival until the answer is due, in milliseconds
 * @param qualities hidden quality of each cascade step's answer, from zero to one
 * @param uniform a number between zero and one that decides errors, the same for all policies
 * @param poison whether it crashes every endpoint that runs it
 */
record SimRequest(
        int id,
        double arrivalMillis,
        int account,
        int priority,
        int instance,
        int promptTokens,
        int freshTokens,
        long prefixDigest,
        int outputTokens,
        int maxTokens,
        double deadlineMillis,
        List<Double> qualities,
        double uniform,
        boolean poison) {
    private static final int BYTES_PER_TOKEN = 4;
    private static final double GOLDEN_RATIO = 0.618033988749895;

    long bytes() {
        return (long) (promptTokens + outputTokens) * BYTES_PER_TOKEN;
    }

    /** Returns a number between zero and one for each attempt, the same for all policies. */
    double uniform(int attempt) {
        double shifted = uniform + attempt * GOLDEN_RATIO;
        return shifted - Math.floor(shifted);
    }

    String digest() {
        return poison ? "poison" : Integer.toString(id);
    }
}
