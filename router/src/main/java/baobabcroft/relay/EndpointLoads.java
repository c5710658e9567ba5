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
 * What this instance knows of each endpoint from its own requests: requests under way, prompt tokens not yet read,
 * failures of late, prompt parts kept. Not thread-safe.
 */
public final class EndpointLoads {
    /** Time in which the weight of a failure falls to a third, in milliseconds. Shorter than an endpoint's restart. */
    private static final double FAILURE_MEMORY_MILLIS = 4_000;
    /** Share of a new outcome in the failure rate. */
    private static final double FAILURE_SMOOTHING = 0.2;
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
     * @param nowMillis steady clock, in milliseconds
     * @param others what other instances have under way
     * @param onChange told when this instance's load changes
     * @return the loads
     */
    public static EndpointLoads create(LongSupplier nowMillis, SharedLoads others, Runnable onChange) {
        return new EndpointLoads(checkNotNull(nowMillis), checkNotNull(others), checkNotNull(onChange));
    }

    /**
     * Returns this instance's own load.
     *
     * @return the loads by endpoint, those that are zero left out
     */
    public Map<EndpointKey, Load> own() {
        Map<EndpointKey, Load> own = new HashMap<>();
        states.values().forEach(state -> {
            if (state.inFlight > 0) {
                own.put(state.key, new Load(state.inFlight, state.unreadMillis));
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
    public void forget(String endpointId) {
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
        private long failureRateAtMillis;
        private int connectionFailures;
        private long ejectedUntilMillis = Long.MIN_VALUE;

        private State(String endpointId, long startedAtEpochMillis) {
            this.key = EndpointKey.of(endpointId);
            this.startedAtEpochMillis = startedAtEpochMillis;
        }

        /** Returns what all instances have under way, as far as is known. */
        Load load() {
            return new Load(inFlight, unreadMillis).plus(others.at(key));
        }

        /** Returns the share of failures of late, from zero to one. */
        double failureRate() {
            double elapsedMillis = nowMillis.getAsLong() - failureRateAtMillis;
            return failureRate * Math.exp(-elapsedMillis / FAILURE_MEMORY_MILLIS);
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
            boolean alone = load().unreadMillis() == 0;
            inFlight++;
            unreadMillis += readMillis;
            onChange.run();
            return new Ticket(this, model, prompt, tokensToRead, readMillis, alone, cacheTokens);
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
            double before = failureRate();
            failureRateAtMillis = nowMillis.getAsLong();
            failureRate = before + FAILURE_SMOOTHING * ((failed ? 1 : 0) - before);
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
                boolean alone,
                long cacheTokens) {
            this.state = state;
            this.model = model;
            this.prompt = prompt;
            this.tokensToRead = tokensToRead;
            this.readMillis = readMillis;
            this.alone = alone;
            this.cacheTokens = cacheTokens;
        }

        /** The endpoint has read the prompt: its first output is here. */
        void promptRead() {
            if (markRead()) {
                state.keep(model, prompt, cacheTokens);
                observePace();
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
