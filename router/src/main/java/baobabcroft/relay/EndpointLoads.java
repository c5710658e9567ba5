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
    /** Multiple of the expected time to the first output above which the output is late. */
    private static final double LATE_FACTOR = 2;
    /** Minimum excess over the expected time for a late output, in milliseconds: engine steps and a round trip. */
    private static final double MIN_LATE_EXCESS_MILLIS = 300;
    /** Prefill time of a token before any observation, in milliseconds: order of magnitude of the engines. */
    private static final double DEFAULT_TOKEN_PREFILL_MILLIS = 0.07;
    /** Context length at which the prefill time of a token doubles: order of magnitude of the engines. */
    private static final double DOUBLING_CONTEXT_TOKENS = 24_000;
    /** Minimum uncached tokens for observing the prefill time; with shorter prompts other delays dominate. */
    private static final int MIN_OBSERVED_TOKENS = 400;
    /**
     * Largest share of tokens that another instance's request may have had cached, for observing an endpoint's speed.
     */
    private static final double MAX_DOUBTFUL_SHARE = 0.3;

    /**
     * Time of a request at a plain service before any observation, in milliseconds: more than services usually take.
     */
    private static final double DEFAULT_PLAIN_REQUEST_MILLIS = 300;

    /** Uncached tokens above which a request's priority drops by one more: one prefill chunk, then several. */
    private static final ImmutableList<Integer> PRIORITY_PENALTY_TOKENS =
            ImmutableList.of(1_000, 4_000, 10_000, 20_000);

    private final LongSupplier nowMillis;
    private final PeerLoads remoteLoads;
    private final Runnable onChange;
    private final Map<String, State> states = new HashMap<>();
    private final EndpointSpeeds speeds;
    private boolean isolated;

    private EndpointLoads(LongSupplier nowMillis, PeerLoads remoteLoads, Runnable onChange, EndpointSpeeds speeds) {
        this.nowMillis = checkNotNull(nowMillis);
        this.remoteLoads = checkNotNull(remoteLoads);
        this.onChange = checkNotNull(onChange);
        this.speeds = checkNotNull(speeds);
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
        return create(nowMillis, remoteLoads, onChange, EndpointSpeeds.create(nowMillis));
    }

    /** Returns loads without any request that learn the speeds of endpoints in a given way. */
    static EndpointLoads create(
            LongSupplier nowMillis, PeerLoads remoteLoads, Runnable onChange, EndpointSpeeds speeds) {
        return new EndpointLoads(nowMillis, remoteLoads, onChange, speeds);
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
            if (state.inFlight > 0 || state.outcomes.isReportable()) {
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
            states.values().forEach(state -> state.outcomes.forget());
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

    /** Returns the expected prefill time of the last tokens of a prompt at the usual speed, in milliseconds. */
    double prefillMillis(Optional<String> model, Prompt prompt, double tokensToPrefill) {
        return tokensToPrefill
                * lengthFactor(prompt, tokensToPrefill)
                * speeds.usualMillis(EndpointSpeeds.prefillKind(model), DEFAULT_TOKEN_PREFILL_MILLIS);
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
            state = new State(endpoint);
            states.put(endpoint.id(), state);
        }
        return state;
    }

    /** State of one incarnation of an endpoint, as seen by this instance. */
    final class State {
        private final EndpointKey key;
        private final long startedAtEpochMillis;
        private final int slots;
        /** Kind of work of one request, if the endpoint belongs to a plain service. */
        private final String requestKind;

        private final EndpointSpeeds.Speed speed = speeds.newEndpoint();
        private final LinkedHashMap<String, Integer> cachedParts = new LinkedHashMap<>(16, 0.75f, true);
        private final HeldTokens heldTokens = HeldTokens.create();
        private long cachedTokens;
        private int inFlight;
        private double pendingPrefillMillis;
        private final RecentOutcomes outcomes = new RecentOutcomes(nowMillis);

        private State(EndpointEntry endpoint) {
            this.key = EndpointKey.of(endpoint.id());
            this.startedAtEpochMillis = endpoint.startedAtEpochMillis();
            this.slots = endpoint.slots();
            this.requestKind = "service/" + endpoint.service();
        }

        /** Returns the expected time of work at this endpoint, as a multiple of the usual time. */
        double timeFactor() {
            return speed.timeFactor();
        }

        /** Returns the expected time of a request at a plain service without waiting, in milliseconds. */
        double plainRequestMillis() {
            return speeds.usualMillis(requestKind, DEFAULT_PLAIN_REQUEST_MILLIS) * speed.timeFactor();
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
            double remoteWeight = outcomes.reportWeight();
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
                    inFlight, pendingPrefillMillis, outcomes.failureRate(), outcomes.lateMillis(), heldTokens.tokens());
        }

        /** Returns the token memory that this instance's requests hold at the endpoint. */
        HeldTokens heldTokens() {
            return heldTokens;
        }

        /** Returns whether the endpoint is ejected because of recent connection failures. */
        boolean isEjected() {
            return outcomes.isEjected();
        }

        /** Returns the number of prompt tokens to prefill: those from the first uncached part to the end. */
        int tokensToPrefill(Optional<String> model, Prompt prompt) {
            return tokensToPrefill(prompt, partKeys(model, prompt));
        }

        /** Returns the same for the keys of the prompt's parts, which are the same for all endpoints. */
        int tokensToPrefill(Prompt prompt, ImmutableList<String> partKeys) {
            int cached = 0;
            for (int i = 0; i < partKeys.size() && cachedParts.containsKey(partKeys.get(i)); i++) {
                cached += prompt.parts().get(i).tokens();
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
            return startRequest(model, prompt, cacheTokens, 0);
        }

        /**
         * Registers a request that is being sent and returns the handle that tracks it.
         *
         * @param roundTripMillis round trip to the endpoint, which is no part of its own time, in milliseconds
         */
        InFlightRequest startRequest(Optional<String> model, Prompt prompt, long cacheTokens, double roundTripMillis) {
            int tokensToPrefill = tokensToPrefill(model, prompt);
            double prefillMillis =
                    EndpointLoads.this.prefillMillis(model, prompt, tokensToPrefill) * speed.timeFactor();
            Load before = load();
            boolean noPendingPrefill = before.prefillBacklogMillis() == 0;
            boolean slotFree = before.inFlight() < slots;
            inFlight++;
            pendingPrefillMillis += prefillMillis;
            double expectedMillis = prefillMillis + before.prefillBacklogMillis();
            InFlightRequest started = new InFlightRequest(
                    this,
                    model,
                    prompt,
                    tokensToPrefill,
                    prefillMillis,
                    expectedMillis,
                    noPendingPrefill,
                    slotFree,
                    cacheTokens,
                    roundTripMillis);
            onChange.run();
            return started;
        }

        private void cacheParts(Optional<String> model, Prompt prompt, long cacheTokens) {
            ImmutableList<String> keys = partKeys(model, prompt);
            for (int i = 0; i < keys.size(); i++) {
                int tokens = prompt.parts().get(i).tokens();
                Integer before = cachedParts.put(keys.get(i), tokens);
                cachedTokens += tokens - (before == null ? 0 : before);
            }
            var oldest = cachedParts.entrySet().iterator();
            while (cachedTokens > cacheTokens && oldest.hasNext()) {
                cachedTokens -= oldest.next().getValue();
                oldest.remove();
            }
        }

        private void recordOutcome(boolean failed) {
            if (!isolated) {
                outcomes.record(failed);
            }
        }

        private void eject() {
            if (!isolated) {
                outcomes.eject();
            }
        }
    }

    /** Returns the keys by which the parts of a prompt are cached for a model. */
    static ImmutableList<String> partKeys(Optional<String> model, Prompt prompt) {
        ImmutableList.Builder<String> keys =
                ImmutableList.builderWithExpectedSize(prompt.parts().size());
        for (PromptPart part : prompt.parts()) {
            keys.add(model.orElse("") + '/' + part.id());
        }
        return keys.build();
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
        private final boolean slotFree;
        private final long cacheTokens;
        private final double roundTripMillis;
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
                boolean slotFree,
                long cacheTokens,
                double roundTripMillis) {
            this.state = state;
            this.model = model;
            this.prompt = prompt;
            this.tokensToPrefill = tokensToPrefill;
            this.prefillMillis = prefillMillis;
            this.expectedMillis = expectedMillis;
            this.noPendingPrefill = noPendingPrefill;
            this.slotFree = slotFree;
            this.cacheTokens = cacheTokens;
            this.roundTripMillis = roundTripMillis;
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
            if (!isolated && prompt.promptTokens() > 0) {
                double boundMillis = Math.max(LATE_FACTOR * expectedMillis, expectedMillis + MIN_LATE_EXCESS_MILLIS);
                state.outcomes.recordDelay(Math.max(0, nowMillis.getAsLong() - sentAtMillis - boundMillis));
            }
        }

        /**
         * Observes the prefill time of a token. If shared parts are most of what is to be prefilled, it is not known
         * how much was: other instances may have sent these parts to the endpoint.
         */
        private void observeTokenPrefill() {
            if (isolated || !noPendingPrefill || tokensToPrefill < MIN_OBSERVED_TOKENS) {
                return;
            }
            String kind = EndpointSpeeds.prefillKind(model);
            double tokenMillis = endpointMillis() / (tokensToPrefill * lengthFactor(prompt, tokensToPrefill));
            if (tokensToPrefill - prompt.ownTokens() > MAX_DOUBTFUL_SHARE * tokensToPrefill) {
                speeds.observeDoubtful(kind, DEFAULT_TOKEN_PREFILL_MILLIS, tokenMillis);
            } else {
                state.speed.observe(kind, DEFAULT_TOKEN_PREFILL_MILLIS, tokenMillis);
            }
        }

        /** Observes the time of a request at a plain service that had a free slot, as far as is known. */
        private void observePlainRequest() {
            if (!isolated && slotFree && prompt.promptTokens() == 0) {
                state.speed.observe(state.requestKind, DEFAULT_PLAIN_REQUEST_MILLIS, endpointMillis());
            }
        }

        /** Returns the time since the request was sent without the round trip, in milliseconds; at least 1. */
        private double endpointMillis() {
            return Math.max(1, nowMillis.getAsLong() - sentAtMillis - roundTripMillis);
        }

        /** Ends the request with an answer of the endpoint, which may be a failure. */
        void answered(boolean failed) {
            if (end()) {
                state.outcomes.onAnswered();
                state.recordOutcome(failed);
                if (!failed) {
                    observePlainRequest();
                }
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
                if (state.outcomes.connectionFailures() > 0) {
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
