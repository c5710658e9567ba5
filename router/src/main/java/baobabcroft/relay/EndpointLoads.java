package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.load.EndpointKey;
import baobabcroft.load.PeerLoads;
import baobabcroft.load.PeerLoads.Load;
import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * What this instance knows of each endpoint from its own requests: requests under way, prompt tokens not yet read,
 * failures of late, prompt parts kept. Not thread-safe.
 */
public final class EndpointLoads {
    /** Time in which the weight of a failure falls to a third, in milliseconds. Shorter than an endpoint's restart. */
    private static final double FAILURE_MEMORY_MILLIS = 4_000;
    /** Share of a new outcome in the failure rate. */
    private static final double FAILURE_SMOOTHING = 0.2;
    /** Outcomes of late from which what other instances tell of an endpoint's failures no longer counts. */
    private static final double OWN_OUTCOMES = 3;
    /**
     * Weight of what other instances tell of failures and delays, before own outcomes: they may not concern this one.
     */
    private static final double TOLD_SHARE = 0.7;
    /** Rate of failures that is worth telling. */
    private static final double TOLD_FAILURE_RATE = 0.05;
    /** Delay that is worth telling, in milliseconds. */
    private static final double TOLD_LATE_MILLIS = 50;
    /** Times the expected time to the first output, beyond which it is late. */
    private static final double LATE_FACTOR = 2;
    /** Least time beyond the expected one from which an output is late, in milliseconds: steps and a round trip. */
    private static final double MIN_LATE_MILLIS = 300;
    /** Longest delay that counts, in milliseconds: the goal of the longest requests. */
    private static final double MAX_LATE_MILLIS = 3_000;
    /** Weight of a new first output in an endpoint's delay. */
    private static final double LATE_SMOOTHING = 0.3;
    /** Shortest time without requests after a connection failure, in milliseconds. */
    private static final long MIN_EJECTION_MILLIS = 500;
    /** Longest time without requests after connection failures in a row, in milliseconds. */
    private static final long MAX_EJECTION_MILLIS = 4_000;

    /** Time to read a token before any was observed, in milliseconds: order of magnitude of the engines. */
    private static final double DEFAULT_TOKEN_MILLIS = 0.07;
    /** Context at which a token takes twice as long to read as without any: order of magnitude of the engines. */
    private static final double ATTENTION_TOKENS = 24_000;
    /** Weight of a new observation of that time. */
    private static final double PACE_SMOOTHING = 0.1;
    /** Fewest tokens from which that time is observed; shorter prompts show other delays. */
    private static final int MIN_PACE_TOKENS = 400;

    /** Tokens to read above which a request stands one rank further back: a chunk of reading, and several. */
    private static final ImmutableList<Integer> SIZE_RANK_TOKENS = ImmutableList.of(1_000, 4_000, 10_000, 20_000);

    private final LongSupplier nowMillis;
    private final PeerLoads others;
    private final Runnable onChange;
    private final Map<String, State> states = new HashMap<>();
    private final Map<String, Double> tokenMillis = new HashMap<>();

    private EndpointLoads(LongSupplier nowMillis, PeerLoads others, Runnable onChange) {
        this.nowMillis = nowMillis;
        this.others = others;
        this.onChange = onChange;
    }

    /**
     * Returns loads without any request.
     *
     * @param nowMillis steady clock, in milliseconds
     * @param others what other instances have under way
     * @param onChange told when this instance's load changes
     * @return the loads
     */
    public static EndpointLoads create(LongSupplier nowMillis, PeerLoads others, Runnable onChange) {
        return new EndpointLoads(checkNotNull(nowMillis), checkNotNull(others), checkNotNull(onChange));
    }

    /**
     * Returns this instance's own load, and how endpoints did of late.
     *
     * @return the loads by endpoint, those with nothing to tell left out
     */
    public Map<EndpointKey, Load> localLoads() {
        Map<EndpointKey, Load> own = new HashMap<>();
        states.values().forEach(state -> {
            if (state.inFlight > 0 || state.isSuspect()) {
                own.put(state.key, state.own());
            }
        });
        return own;
    }

    /** Returns the time in which an engine reads a token of a short prompt, in milliseconds, as observed. */
    private double tokenMillis(Optional<String> model) {
        return tokenMillis.getOrDefault(model.orElse(""), DEFAULT_TOKEN_MILLIS);
    }

    /** Returns the time in which an engine reads the last tokens of a prompt, in milliseconds. */
    double readMillis(Optional<String> model, Prompt prompt, double tokensToRead) {
        return tokensToRead * lengthFactor(prompt, tokensToRead) * tokenMillis(model);
    }

    /** Each token attends to all before it, so that the tokens of a long prompt take longer. */
    private static double lengthFactor(Prompt prompt, double tokensToRead) {
        double meanContextTokens = Math.max(0, prompt.promptTokens() - tokensToRead / 2);
        return 1 + meanContextTokens / ATTENTION_TOKENS;
    }

    /**
     * Forgets endpoints that are no longer listed, once their requests have ended.
     *
     * @param endpointId the endpoint
     */
    public void removeIfIdle(String endpointId) {
        State state = states.get(endpointId);
        if (state != null && state.inFlight == 0) {
            states.remove(endpointId);
        }
    }

    /** Returns an endpoint's state, new if it was never used or has started again. */
    State of(EndpointEntry endpoint) {
        State state = states.get(endpoint.id());
        if (state == null || state.startedAtEpochMillis != endpoint.startedAtEpochMillis()) {
            state = new State(endpoint.id(), endpoint.startedAtEpochMillis());
            states.put(endpoint.id(), state);
        }
        return state;
    }

    /** One endpoint as seen from here. */
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
         * Returns what all instances have under way, as far as is known, and how the endpoint did of late: by what this
         * instance saw if that was often, else also by what others tell.
         */
        Load load() {
            Load own = own();
            Load told = others.loadOf(key);
            double toldWeight = TOLD_SHARE * Math.max(0, 1 - outcomes * faded() / OWN_OUTCOMES);
            return new Load(
                    own.inFlight() + told.inFlight(),
                    own.unreadMillis() + told.unreadMillis(),
                    Math.max(own.failureRate(), toldWeight * told.failureRate()),
                    Math.max(own.lateMillis(), toldWeight * told.lateMillis()));
        }

        /** Returns this instance's part of the load. */
        private Load own() {
            return new Load(inFlight, unreadMillis, failureRate * faded(), lateMillis * faded());
        }

        private boolean isSuspect() {
            return failureRate * faded() >= TOLD_FAILURE_RATE || lateMillis * faded() >= TOLD_LATE_MILLIS;
        }

        /** Returns what is left of the weight of what was counted last. */
        private double faded() {
            return Math.exp((countedAtMillis - nowMillis.getAsLong()) / FAILURE_MEMORY_MILLIS);
        }

        /** Returns whether connections failed so lately that the endpoint is to be left alone. */
        boolean isEjected() {
            return nowMillis.getAsLong() < ejectedUntilMillis;
        }

        /** Returns the tokens of a prompt that the endpoint must read: those behind the first part not kept. */
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
         * Returns how far a prompt's size puts a request behind others of its rank: an engine that reads short prompts
         * first lets most requests begin soonest.
         */
        int sizeRank(Optional<String> model, Prompt prompt) {
            int tokens = tokensToRead(model, prompt);
            int rank = 0;
            for (int bound : SIZE_RANK_TOKENS) {
                rank += tokens > bound ? 1 : 0;
            }
            return rank;
        }

        /** Counts a request that is sent now. */
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

    /** One request under way at an endpoint. */
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

        /** The endpoint has read the prompt: its first output is here. */
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

        /** Only engines read prompts in a time that can be foreseen. */
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

        /** The request has ended with the endpoint's own answer. */
        void answered(boolean failed) {
            if (end()) {
                state.connectionFailures = 0;
                state.count(failed);
            }
        }

        /** The endpoint was full, leaving or another one: not counted as failure. */
        void rejected() {
            end();
        }

        /** The caller or the router gave the request up. */
        void abandoned() {
            end();
        }

        /** The connection failed or fell silent. */
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
