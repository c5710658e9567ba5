package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.capacity.HeldTokens;
import baobabcroft.capacity.TokenNeed;
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
 * Tracks the state of each endpoint as seen by this instance's own requests: in-flight requests, pending prefill,
 * recent failures and delays, and cached prompt parts. Not thread-safe.
 */
public final class EndpointLoads {
    /** Time constant of the decay of failures and delays, in milliseconds. Shorter than the restart of an endpoint. */
    private static final double DECAY_TIME_CONSTANT_MILLIS = 4_000;
    /** Weight of a new outcome in the moving average of the failure rate. */
    private static final double FAILURE_SMOOTHING = 0.2;
    /** Recent own outcomes from which other instances' reports of failures and delays are ignored. */
    private static final double SUFFICIENT_OWN_OUTCOMES = 3;
    /**
     * Weight of other instances' reports of failures and delays while there are no own outcomes. Below 1 because the
     * cause may not affect this instance.
     */
    private static final double REPORT_WEIGHT = 0.7;
    /** Failure rate from which an endpoint is reported to other instances. */
    private static final double MIN_REPORTED_FAILURE_RATE = 0.05;
    /** Delay from which an endpoint is reported to other instances, in milliseconds. */
    private static final double MIN_REPORTED_DELAY_MILLIS = 50;
    /** Multiple of the expected time to the first output above which the output is late. */
    private static final double LATE_FACTOR = 2;
    /** Minimum excess over the expected time for a late output, in milliseconds: engine steps and a round trip. */
    private static final double MIN_LATE_EXCESS_MILLIS = 300;
    /** Upper bound of a recorded delay, in milliseconds: the goal of the longest requests. */
    private static final double MAX_DELAY_MILLIS = 3_000;
    /** Weight of a new delay in the moving average of an endpoint's delay. */
    private static final double DELAY_SMOOTHING = 0.3;
    /** Ejection time after a first connection failure, in milliseconds; doubles with each consecutive failure. */
    private static final long MIN_EJECTION_MILLIS = 500;
    /** Maximum ejection time, in milliseconds. */
    private static final long MAX_EJECTION_MILLIS = 4_000;

    /** Prefill time of a token before any observation, in milliseconds: order of magnitude of the engines. */
    private static final double DEFAULT_TOKEN_PREFILL_MILLIS = 0.07;
    /** Context length at which the prefill time of a token doubles: order of magnitude of the engines. */
    private static final double DOUBLING_CONTEXT_TOKENS = 24_000;
    /** Weight of a new observation in the moving average of the prefill time of a token. */
    private static final double TOKEN_PREFILL_SMOOTHING = 0.1;
    /** Minimum uncached tokens for observing the prefill time; with shorter prompts other delays dominate. */
    private static final int MIN_OBSERVED_TOKENS = 400;

    /** Uncached tokens above which a request's priority drops by one more: one prefill chunk, then several. */
    private static final ImmutableList<Integer> PRIORITY_PENALTY_TOKENS =
            ImmutableList.of(1_000, 4_000, 10_000, 20_000);

    private final LongSupplier nowMillis;
    private final PeerLoads remoteLoads;
    private final Runnable onChange;
    private final Map<String, State> states = new HashMap<>();
    private final Map<String, Double> tokenPrefillMillis = new HashMap<>();
    private boolean isolated;

    private EndpointLoads(LongSupplier nowMillis, PeerLoads remoteLoads, Runnable onChange) {
        this.nowMillis = nowMillis;
        this.remoteLoads = remoteLoads;
        this.onChange = onChange;
    }

    /**
     * Returns loads without any request.
     *
     * @param nowMillis monotonic clock, in milliseconds
     * @param remoteLoads loads reported by other instances
     * @param onChange run after each change of this instance's load
     * @return the loads
     */
    public static EndpointLoads create(LongSupplier nowMillis, PeerLoads remoteLoads, Runnable onChange) {
        return new EndpointLoads(checkNotNull(nowMillis), checkNotNull(remoteLoads), checkNotNull(onChange));
    }

    /**
     * Returns the loads that this instance reports to others: its in-flight requests and the recent failures and delays
     * that it has seen.
     *
     * @return the loads by endpoint, without endpoints that have neither in-flight requests nor notable failures or
     *     delays
     */
    public Map<EndpointKey, Load> localLoads() {
        Map<EndpointKey, Load> loads = new HashMap<>();
        states.values().forEach(state -> {
            if (state.inFlight > 0 || state.isReportable()) {
                loads.put(state.key, state.localLoad());
            }
        });
        return loads;
    }

    /**
     * Sets whether this instance is cut off from all endpoints. While it is, failures and delays are those of its
     * links: what it has recorded of late is forgotten, and nothing is added.
     *
     * @param nowIsolated whether it is cut off from now on
     */
    public void setIsolated(boolean nowIsolated) {
        isolated = nowIsolated;
        if (nowIsolated) {
            states.values().forEach(State::forgetFailures);
            onChange.run();
        }
    }

    /**
     * Returns how many requests of this instance are open at an endpoint.
     *
     * @param endpoint the endpoint
     * @return the number, including requests whose connection is being opened
     */
    public int openRequests(EndpointEntry endpoint) {
        return stateOf(endpoint).inFlight;
    }

    /** Returns the observed prefill time of a token of a short prompt, in milliseconds. */
    private double tokenPrefillMillis(Optional<String> model) {
        return tokenPrefillMillis.getOrDefault(model.orElse(""), DEFAULT_TOKEN_PREFILL_MILLIS);
    }

    /** Returns the expected prefill time of the last tokens of a prompt, in milliseconds. */
    double prefillMillis(Optional<String> model, Prompt prompt, double tokensToPrefill) {
        return tokensToPrefill * lengthFactor(prompt, tokensToPrefill) * tokenPrefillMillis(model);
    }

    /** Returns the factor by which a long context slows down prefill, as each token attends to all before it. */
    private static double lengthFactor(Prompt prompt, double tokensToPrefill) {
        double meanContextTokens = Math.max(0, prompt.promptTokens() - tokensToPrefill / 2);
        return 1 + meanContextTokens / DOUBLING_CONTEXT_TOKENS;
    }

    /**
     * Removes the state of an endpoint that is no longer listed, unless it has in-flight requests.
     *
     * @param endpointId id of the endpoint; nothing happens if it is unknown
     */
    public void removeIfIdle(String endpointId) {
        State state = states.get(endpointId);
        if (state != null && state.inFlight == 0) {
            states.remove(endpointId);
        }
    }

    /** Returns the state of an endpoint, which is new if the endpoint was never used or has restarted. */
    State stateOf(EndpointEntry endpoint) {
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
        private final LinkedHashMap<String, Integer> cachedParts = new LinkedHashMap<>(16, 0.75f, true);
        private final HeldTokens heldTokens = HeldTokens.create();
        private long cachedTokens;
        private int inFlight;
        private double pendingPrefillMillis;
        private double failureRate;
        private double lateMillis;
        private double outcomes;
        private long decayedAtMillis;
        private int connectionFailures;
        private long ejectedUntilMillis = Long.MIN_VALUE;

        private State(String endpointId, long startedAtEpochMillis) {
            this.key = EndpointKey.of(endpointId);
            this.startedAtEpochMillis = startedAtEpochMillis;
        }

        /** Returns the key that names the endpoint in notices. */
        EndpointKey key() {
            return key;
        }

        /**
         * Returns the known load of all instances, and the endpoint's recent failures and delays. Reports of other
         * instances lose weight with each recent outcome that this instance has seen itself.
         */
        Load load() {
            Load local = localLoad();
            Load remote = remoteLoads.loadOf(key);
            double remoteWeight = REPORT_WEIGHT * Math.max(0, 1 - outcomes * decayFactor() / SUFFICIENT_OWN_OUTCOMES);
            return new Load(
                    local.inFlight() + remote.inFlight(),
                    local.prefillBacklogMillis() + remote.prefillBacklogMillis(),
                    Math.max(local.failureRate(), remoteWeight * remote.failureRate()),
                    Math.max(local.lateMillis(), remoteWeight * remote.lateMillis()),
                    local.heldTokens() + remote.heldTokens());
        }

        /** Returns the load that this instance causes, and the failures and delays that it has seen. */
        private Load localLoad() {
            return new Load(
                    inFlight,
                    pendingPrefillMillis,
                    failureRate * decayFactor(),
                    lateMillis * decayFactor(),
                    heldTokens.tokens());
        }

        /** Returns the token memory that this instance's requests hold at the endpoint. */
        HeldTokens heldTokens() {
            return heldTokens;
        }

        private boolean isReportable() {
            return failureRate * decayFactor() >= MIN_REPORTED_FAILURE_RATE
                    || lateMillis * decayFactor() >= MIN_REPORTED_DELAY_MILLIS;
        }

        /** Returns the factor by which the recorded failures and delays have decayed since the last one. */
        private double decayFactor() {
            return Math.exp((decayedAtMillis - nowMillis.getAsLong()) / DECAY_TIME_CONSTANT_MILLIS);
        }

        /** Returns whether the endpoint is ejected because of recent connection failures. */
        boolean isEjected() {
            return nowMillis.getAsLong() < ejectedUntilMillis;
        }

        /** Returns the number of prompt tokens to prefill: those from the first uncached part to the end. */
        int tokensToPrefill(Optional<String> model, Prompt prompt) {
            int cached = 0;
            for (PromptPart part : prompt.parts()) {
                if (!cachedParts.containsKey(partKey(model, part))) {
                    break;
                }
                cached += part.tokens();
            }
            return Math.max(0, prompt.promptTokens() - cached);
        }

        /**
         * Returns by how much a prompt's size lowers a request's priority. If engines prefill short prompts first, the
         * mean time to first output is lowest.
         */
        int priorityPenalty(Optional<String> model, Prompt prompt) {
            int tokens = tokensToPrefill(model, prompt);
            int penalty = 0;
            for (int bound : PRIORITY_PENALTY_TOKENS) {
                penalty += tokens > bound ? 1 : 0;
            }
            return penalty;
        }

        /** Registers a request that is being sent and returns the handle that tracks it. */
        InFlightRequest startRequest(Optional<String> model, Prompt prompt, long cacheTokens) {
            int tokensToPrefill = tokensToPrefill(model, prompt);
            double prefillMillis = EndpointLoads.this.prefillMillis(model, prompt, tokensToPrefill);
            Load before = load();
            boolean noPendingPrefill = before.prefillBacklogMillis() == 0;
            inFlight++;
            pendingPrefillMillis += prefillMillis;
            double expectedMillis = prefillMillis + before.prefillBacklogMillis();
            InFlightRequest started = new InFlightRequest(
                    this, model, prompt, tokensToPrefill, prefillMillis, expectedMillis, noPendingPrefill, cacheTokens);
            onChange.run();
            return started;
        }

        private void cacheParts(Optional<String> model, Prompt prompt, long cacheTokens) {
            for (PromptPart part : prompt.parts()) {
                Integer before = cachedParts.put(partKey(model, part), part.tokens());
                cachedTokens += part.tokens() - (before == null ? 0 : before);
            }
            var oldest = cachedParts.entrySet().iterator();
            while (cachedTokens > cacheTokens && oldest.hasNext()) {
                cachedTokens -= oldest.next().getValue();
                oldest.remove();
            }
        }

        private void forgetFailures() {
            failureRate = 0;
            lateMillis = 0;
            outcomes = 0;
            connectionFailures = 0;
            ejectedUntilMillis = Long.MIN_VALUE;
        }

        private void recordOutcome(boolean failed) {
            if (isolated) {
                return;
            }
            decay();
            outcomes++;
            failureRate += FAILURE_SMOOTHING * ((failed ? 1 : 0) - failureRate);
        }

        private void recordDelay(double millis) {
            if (isolated) {
                return;
            }
            decay();
            lateMillis += DELAY_SMOOTHING * (Math.min(millis, MAX_DELAY_MILLIS) - lateMillis);
        }

        private void decay() {
            double factor = decayFactor();
            failureRate *= factor;
            lateMillis *= factor;
            outcomes *= factor;
            decayedAtMillis = nowMillis.getAsLong();
        }

        private void eject() {
            if (isolated) {
                return;
            }
            long ejectionMillis = Math.min(MAX_EJECTION_MILLIS, MIN_EJECTION_MILLIS << Math.min(connectionFailures, 3));
            connectionFailures++;
            ejectedUntilMillis = nowMillis.getAsLong() + ejectionMillis;
        }

        private static String partKey(Optional<String> model, PromptPart part) {
            return model.orElse("") + '/' + part.id();
        }
    }

    /** Tracks one in-flight request at an endpoint. */
    final class InFlightRequest {
        private final State state;
        private final Optional<String> model;
        private final Prompt prompt;
        private final int tokensToPrefill;
        private final double prefillMillis;
        private final double expectedMillis;
        private final boolean noPendingPrefill;
        private final long cacheTokens;
        private final HeldTokens.Hold memory;
        private final long sentAtMillis = nowMillis.getAsLong();
        private boolean prefillDone;
        private boolean ended;

        private InFlightRequest(
                State state,
                Optional<String> model,
                Prompt prompt,
                int tokensToPrefill,
                double prefillMillis,
                double expectedMillis,
                boolean noPendingPrefill,
                long cacheTokens) {
            this.state = state;
            this.model = model;
            this.prompt = prompt;
            this.tokensToPrefill = tokensToPrefill;
            this.prefillMillis = prefillMillis;
            this.expectedMillis = expectedMillis;
            this.noPendingPrefill = noPendingPrefill;
            this.cacheTokens = cacheTokens;
            this.memory = state.heldTokens.hold(cacheTokens > 0 ? prompt.tokenNeed(model) : TokenNeed.NONE);
        }

        /** Records the first output, with which the prefill of the prompt has ended. */
        void firstOutputReceived() {
            if (markPrefillDone()) {
                state.cacheParts(model, prompt, cacheTokens);
                observeTokenPrefill();
                observeDelay();
            }
        }

        private boolean markPrefillDone() {
            if (prefillDone) {
                return false;
            }
            prefillDone = true;
            state.pendingPrefillMillis = Math.max(0, state.pendingPrefillMillis - prefillMillis);
            onChange.run();
            return true;
        }

        /** Ignores requests without a prompt: only the prefill time of engines can be predicted. */
        private void observeDelay() {
            if (prompt.promptTokens() > 0) {
                double boundMillis = Math.max(LATE_FACTOR * expectedMillis, expectedMillis + MIN_LATE_EXCESS_MILLIS);
                state.recordDelay(Math.max(0, nowMillis.getAsLong() - sentAtMillis - boundMillis));
            }
        }

        private void observeTokenPrefill() {
            if (noPendingPrefill && tokensToPrefill >= MIN_OBSERVED_TOKENS) {
                double observed = (nowMillis.getAsLong() - sentAtMillis)
                        / (tokensToPrefill * lengthFactor(prompt, tokensToPrefill));
                double before = EndpointLoads.this.tokenPrefillMillis(model);
                tokenPrefillMillis.put(model.orElse(""), before + TOKEN_PREFILL_SMOOTHING * (observed - before));
            }
        }

        /** Ends the request with an answer of the endpoint, which may be a failure. */
        void answered(boolean failed) {
            if (end()) {
                state.connectionFailures = 0;
                state.recordOutcome(failed);
            }
        }

        /** Ends a request that the endpoint rejected without running it, which is no failure of the endpoint. */
        void rejected() {
            end();
        }

        /** Ends a request that the caller or the router cancelled: no outcome of the endpoint. */
        void cancelled() {
            end();
        }

        /** Ends a request whose connection failed or whose answer was unusable, and ejects the endpoint. */
        void failed() {
            if (end()) {
                state.recordOutcome(true);
                state.eject();
            }
        }

        /**
         * Ends a request whose connection was not accepted in time, and ejects the endpoint. The first time is no
         * failure, as a sound endpoint may be silent for longer than that.
         */
        void connectTimedOut() {
            if (end()) {
                if (state.connectionFailures > 0) {
                    state.recordOutcome(true);
                }
                state.eject();
            }
        }

        private boolean end() {
            if (ended) {
                return false;
            }
            ended = true;
            state.inFlight--;
            memory.release();
            markPrefillDone();
            onChange.run();
            return true;
        }
    }
}
