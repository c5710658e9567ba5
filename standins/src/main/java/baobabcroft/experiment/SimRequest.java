package baobabcroft.experiment;

import java.util.List;

/**
 * A simulated request, including properties that the router cannot observe.
 *
 * @param id number of the request, unique in a run
 * @param arrivalMillis virtual time at which the caller sends it, in milliseconds
 * @param account index of the client account; the lowest indexes are the large accounts
 * @param priority admission priority; zero, or one for an urgent request
 * @param instance index of the instance that receives it
 * @param promptTokens length of the whole prompt, in tokens
 * @param suffixTokens length of the part of the prompt after the shared prefix, in tokens
 * @param prefixDigest digest of the prompt prefix that it shares with other requests
 * @param outputTokens length of the answer, in tokens
 * @param maxTokens caller's limit on the length of the answer, in tokens
 * @param deadlineMillis time from arrival to the deadline, in milliseconds
 * @param qualities quality of each model's answer, from zero to one, in the order of {@link Fleet#MODELS}; the router
 *     learns it only through ratings
 * @param uniform random number from zero to one that determines errors, the same for all policies
 * @param poison whether it crashes every endpoint that executes it
 */
record SimRequest(
        int id,
        double arrivalMillis,
        int account,
        int priority,
        int instance,
        int promptTokens,
        int suffixTokens,
        long prefixDigest,
        int outputTokens,
        int maxTokens,
        double deadlineMillis,
        List<Double> qualities,
        double uniform,
        boolean poison) {
    private static final int BYTES_PER_TOKEN = 4;
    private static final double GOLDEN_RATIO_FRACTION = 0.618033988749895;

    long bytes() {
        return (long) (promptTokens + outputTokens) * BYTES_PER_TOKEN;
    }

    /**
     * Returns a random number from zero to one for an attempt, the same for all policies.
     *
     * <p>Adding multiples of the golden ratio modulo one spreads the attempts' numbers evenly.
     */
    double uniform(int attempt) {
        double shifted = uniform + attempt * GOLDEN_RATIO_FRACTION;
        return shifted - Math.floor(shifted);
    }

    String digest() {
        return poison ? "poison" : Integer.toString(id);
    }
}
