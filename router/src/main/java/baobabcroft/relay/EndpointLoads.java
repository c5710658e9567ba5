package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.load.EndpointKey;
import baobabcroft.load.SharedLoads;
import baobabcroft.load.SharedLoads.Load;
import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Tracks the state of each endpoint as seen by this instance's own requests: in-flight requests, pending prefill, recent
 * failures and delays, and cached prompt parts. Not thread-safe.
 */
public final class EndpointLoads {
    /** Time constant of the decay of failures and delays, in milliseconds. Shorter than the restart of an endpoint. */
    private static final double FAILURE_MEMORY_MILLIS = 4_000;
    /** Weight of a new outcome in the moving average of the failure rate. */
    private static final double FAILURE_SMOOTHING = 0.2;
    /** Recent own outcomes from which other instances' reports of failures and delays are ignored. */
    private static final double OWN_OUTCOMES = 3;
    /**
     * Weight of other instances' reports of failures and delays while there are no own outcomes. Below 1 because the
     * cause may not affect this instance.
     */
    private static final double TOLD_SHARE = 0.7;
    /** Failure rate from which an endpoint is reported to other instances. */
    private static final double TOLD_FAILURE_RATE = 0.05;
    /** Delay from which an endpoint is reported to other instances, in milliseconds. */
    private static final double TOLD_LATE_MILLIS = 50;
    /** Multiple of the expected time to the first output above which the output is late. */
    private static final double LATE_FACTOR = 2;
    /** Minimum excess over the expected time for a late output, in milliseconds: engine steps and a round trip. */
    private static final double MIN_LATE_MILLIS = 300;
    /** Upper bound of a recorded delay, in milliseconds: the goal of the longest requests. */
    private static final double MAX_LATE_MILLIS = 3_000;
    /** Weight of a new delay in the moving average of an endpoint's delay. */
    private static final double LATE_SMOOTHING = 0.3;
    /** Ejection time after a first connection failure, in milliseconds; doubles with each consecutive failure. */
    private static final long MIN_EJECTION_MILLIS = 500;
    /** Maximum ejection time, in milliseconds. */
    private static final long MAX_EJECTION_MILLIS = 4_000;

    /** Prefill time of a token before any observation, in milliseconds: order of magnitude of the engines. */
    private static final double DEFAULT_TOKEN_MILLIS = 0.07;
    /** Context length at which the prefill time of a token doubles: order of magnitude of the engines. */
    private static final double ATTENTION_TOKENS = 24_000;
    /** Weight of a new observation in the moving average of the prefill time of a token. */
    private static final double PACE_SMOOTHING = 0.1;
    /** Minimum uncached tokens for observing the prefill time; with shorter prompts other delays dominate. */
    private static final int MIN_PACE_TOKENS = 400;

    /** Uncached tokens above which a request's priority drops by one more: one prefill chunk, then several. */
    private static final ImmutableList<Integer> SIZE_RANK_TOKENS = ImmutableList.of(1_000, 4_000, 10_000, 20_000);

    private final LongSupplier nowMillis;
    private final SharedLoads others;
    private final Runnable onChange;
    private final Map<String, State> states = new HashMap<>();
    private final Map<String, Double> tokenMillis = new HashMap<>();

    private EndpointLoads(LongSupplier nowMillis, SharedLoads others, Runnable onChange) {
        this.nowMillis = nowMillis;
        this.others = others;
        this.onChange = onChange;
    }

    /**
     * Returns loads without any request.
     *
     * @param nowMillis monotonic clock, in milliseconds
     * @param others loads reported by other instances
     * @param onChange run after each change of this instance's load
     * @return the loads
     */
    public static EndpointLoads create(LongSupplier nowMillis, SharedLoads others, Runnable onChange) {
        return new EndpointLoads(checkNotNull(nowMillis), checkNotNull(others), checkNotNull(onChange));
    }

    /**
     * Returns the loads that this instance reports to others: its in-flight requests and the recent failures and delays
     * that it has seen.
     *
     * @return the loads by endpoint, without endpoints that have neither in-flight requests nor notable failures or
     *     delays
     */
    public Map<EndpointKey, Load> own() {
        Map<EndpointKey, Load> own = new HashMap<>();
        states.values().forEach(state -> {
            if (state.inFlight > 0 || state.isSuspect()) {
                own.put(state.key, state.own());
            }
        });
        return own;
    }

    /** Returns the observed prefill time of a token of a short prompt, in milliseconds. */
    private double tokenMillis(Optional<String> model) {
        return tokenMillis.getOrDefault(model.orElse(""), DEFAULT_TOKEN_MILLIS);
    }

    /** Returns the expected prefill time of the last tokens of a prompt, in milliseconds. */
    double readMillis(Optional<String> model, Prompt prompt, double tokensToRead) {
        return tokensToRead * lengthFactor(prompt, tokensToRead) * tokenMillis(model);
    }

    /** Returns the factor by which a long context slows down prefill, as each token attends to all before it. */
    private static double lengthFactor(Prompt prompt, double tokensToRead) {
        double meanContextTokens = Math.max(0, prompt.promptTokens() - tokensToRead / 2);
        return 1 + meanContextTokens / ATTENTION_TOKENS;
    }

    /**
     * Removes the state of an endpoint that is no longer listed, unless it has in-flight requests.
     *
     * @param endpointId id of the endpoint; nothing happens if it is unknown
     */
    public void forget(String endpointId) {
        State state = states.get(endpointId);
        if (state != null && state.inFlight == 0) {
            states.remove(endpointId);
        }
    }

    /** Returns the state of an endpoint, which is new if the endpoint was never used or has restarted. */
    State of(EndpointEntry endpoint) {
        State state = states.get(endpoint.id());
        if (state == null || state.startedAtEpochMillis != endpoint.startedAtEpochMillis()) {
            state = new State(endpoint.id(), endpoint.startedAtEpochMillis());
            states.put(endpoint.id(), state);
        }
        return state;
    }

    /** State of one incarnation of an endpoint, as seen by this instance. */
    final class State {
        private final EndpointKey key;
        private final long startedAtEpochMillis;
        private final LinkedHashMap<String, Integer> keptParts = new LinkedHashMap<>(16, 0.75f, true);
        private long keptTokens;
        private int inFlight;
        private double unreadMillis;
        private double failureRate;
        private double lateMillis;
        private double outcomes;
        private long countedAtMillis;
        private int connectionFailures;
        private long ejectedUntilMillis = Long.MIN_VALUE;

        private State(String endpointId, long startedAtEpochMillis) {
            this.key = EndpointKey.of(endpointId);
            this.startedAtEpochMillis = startedAtEpochMillis;
        }

        /**
         * Returns the known load of all instances, and the endpoint's recent failures and delays. Reports of other
         * instances lose weight with each recent outcome that this instance has seen itself.
         */
        Load load() {
            Load own = own();
            Load told = others.at(key);
            double toldWeight = TOLD_SHARE * Math.max(0, 1 - outcomes * faded() / OWN_OUTCOMES);
            return new Load(
                    own.inFlight() + told.inFlight(),
                    own.unreadMillis() + told.unreadMillis(),
                    Math.max(own.failureRate(), toldWeight * told.failureRate()),
                    Math.max(own.lateMillis(), toldWeight * told.lateMillis()));
        }

        /** Returns the load caused and the failures and delays seen by this instance. */
        private Load own() {
            return new Load(inFlight, unreadMillis, failureRate * faded(), lateMillis * faded());
        }

        private boolean isSuspect() {
            return failureRate * faded() >= TOLD_FAILURE_RATE || lateMillis * faded() >= TOLD_LATE_MILLIS;
        }

        /** Returns the factor by which the recorded failures and delays have decayed since the last one. */
        private double faded() {
            return Math.exp((countedAtMillis - nowMillis.getAsLong()) / FAILURE_MEMORY_MILLIS);
        }

        /** Returns whether the endpoint is ejected because of recent connection failures. */
        boolean isEjected() {
            return nowMillis.getAsLong() < ejectedUntilMillis;
        }

        /** Returns the number of prompt tokens to prefill: those from the first uncached part to the end. */
        int tokensToRead(Optional<String> model, Prompt prompt) {
            int kept = 0;
            for (PromptPart part : prompt.parts()) {
                if (!keptParts.containsKey(partKey(model, part))) {
                    break;
                }
                kept += part.tokens();
            }
            return Math.max(0, prompt.promptTokens() - kept);
        }

        /**
         * Returns by how much a prompt's size lowers a request's priority. If engines prefill short prompts first, the
         * mean time to first output is lowest.
         */
        int sizeRank(Optional<String> model, Prompt prompt) {
            int tokens = tokensToRead(model, prompt);
            int rank = 0;
            for (int bound : SIZE_RANK_TOKENS) {
                rank += tokens > bound ? 1 : 0;
            }
            return rank;
        }

        /** Registers a request that is being sent and returns the handle that tracks it. */
        Ticket begin(Optional<String> model, Prompt prompt, long cacheTokens) {
            int tokensToRead = tokensToRead(model, prompt);
            double readMillis = EndpointLoads.this.readMillis(model, prompt, tokensToRead);
            Load before = load();
            boolean alone = before.unreadMillis() == 0;
            inFlight++;
            unreadMillis += readMillis;
            onChange.run();
            double expectedMillis = readMillis + before.unreadMillis();
            return new Ticket(this, model, prompt, tokensToRead, readMillis, expectedMillis, alone, cacheTokens);
        }

        private void keep(Optional<String> model, Prompt prompt, long cacheTokens) {
            for (PromptPart part : prompt.parts()) {
                Integer before = keptParts.put(partKey(model, part), part.tokens());
                keptTokens += part.tokens() - (before == null ? 0 : before);
            }
            var oldest = keptParts.entrySet().iterator();
            while (keptTokens > cacheTokens && oldest.hasNext()) {
                keptTokens -= oldest.next().getValue();
                oldest.remove();
            }
        }

        private void count(boolean failed) {
            fade();
            outcomes++;
            failureRate += FAILURE_SMOOTHING * ((failed ? 1 : 0) - failureRate);
        }

        private void countDelay(double millis) {
            fade();
            lateMillis += LATE_SMOOTHING * (Math.min(millis, MAX_LATE_MILLIS) - lateMillis);
        }

        private void fade() {
            double faded = faded();
            failureRate *= faded;
            lateMillis *= faded;
            outcomes *= faded;
            countedAtMillis = nowMillis.getAsLong();
        }

        private void connectionFailed() {
            long ejectionMillis = Math.min(MAX_EJECTION_MILLIS, MIN_EJECTION_MILLIS << Math.min(connectionFailures, 3));
            connectionFailures++;
            ejectedUntilMillis = nowMillis.getAsLong() + ejectionMillis;
        }

        private static String partKey(Optional<String> model, PromptPart part) {
            return model.orElse("") + '/' + part.id();
        }
    }

    /** Tracks one in-flight request at an endpoint. */
    final class Ticket {
        private final State state;
        private final Optional<String> model;
        private final Prompt prompt;
        private final int tokensToRead;
        private final double readMillis;
        private final double expectedMillis;
        private final boolean alone;
        private final long cacheTokens;
        private final long sentAtMillis = nowMillis.getAsLong();
        private boolean read;
        private boolean ended;

        private Ticket(
                State state,
                Optional<String> model,
                Prompt prompt,
                int tokensToRead,
                double readMillis,
                double expectedMillis,
                boolean alone,
                long cacheTokens) {
            this.state = state;
            this.model = model;
            this.prompt = prompt;
            this.tokensToRead = tokensToRead;
            this.readMillis = readMillis;
            this.expectedMillis = expectedMillis;
            this.alone = alone;
            this.cacheTokens = cacheTokens;
        }

        /** Records the first output, with which the prefill of the prompt has ended. */
        void promptRead() {
            if (markRead()) {
                state.keep(model, prompt, cacheTokens);
                observePace();
                observeDelay();
            }
        }

        private boolean markRead() {
            if (read) {
                return false;
            }
            read = true;
            state.unreadMillis = Math.max(0, state.unreadMillis - readMillis);
            onChange.run();
            return true;
        }

        /** Ignores requests without a prompt: only the prefill time of engines can be predicted. */
        private void observeDelay() {
            if (prompt.promptTokens() > 0) {
                double boundMillis = Math.max(LATE_FACTOR * expectedMillis, expectedMillis + MIN_LATE_MILLIS);
                state.countDelay(Math.max(0, nowMillis.getAsLong() - sentAtMillis - boundMillis));
            }
        }

        private void observePace() {
            if (alone && tokensToRead >= MIN_PACE_TOKENS) {
                double observed =
                        (nowMillis.getAsLong() - sentAtMillis) / (tokensToRead * lengthFactor(prompt, tokensToRead));
                double before = EndpointLoads.this.tokenMillis(model);
                tokenMillis.put(model.orElse(""), before + PACE_SMOOTHING * (observed - before));
            }
        }

        /** Ends the request with an answer of the endpoint, which may be a failure. */
        void answered(boolean failed) {
            if (end()) {
                state.connectionFailures = 0;
                state.count(failed);
            }
        }

        /** Ends a request that the endpoint did not run as it was full, leaving or not the one addressed: no failure. */
        void rejected() {
            end();
        }

        /** Ends a request that the caller or the router cancelled: no outcome of the endpoint. */
        void abandoned() {
            end();
        }

        /** Ends a request whose connection failed or whose answer was unusable, and ejects the endpoint. */
        void lost() {
            if (end()) {
                state.count(true);
                state.connectionFailed();
            }
        }

        private boolean end() {
            if (ended) {
                return false;
            }
            ended = true;
            state.inFlight--;
            markRead();
            onChange.run();
            return true;
        }
    }
}
