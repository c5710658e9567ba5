package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.directory.EndpointEntry;
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

    private final LongSupplier nowMillis;
    private final Map<String, State> states = new HashMap<>();

    private EndpointLoads(LongSupplier nowMillis) {
        this.nowMillis = nowMillis;
    }

    /**
     * Returns loads without any request.
     *
     * @param nowMillis steady clock, in milliseconds
     * @return the loads
     */
    public static EndpointLoads create(LongSupplier nowMillis) {
        return new EndpointLoads(checkNotNull(nowMillis));
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
            state = new State(endpoint.startedAtEpochMillis());
            states.put(endpoint.id(), state);
        }
        return state;
    }

    /** One endpoint as seen from here. */
    final class State {
        private final long startedAtEpochMillis;
        private final LinkedHashMap<String, Integer> keptParts = new LinkedHashMap<>(16, 0.75f, true);
        private long keptTokens;
        private int inFlight;
        private int unreadTokens;
        private double failureRate;
        private long failureRateAtMillis;
        private int connectionFailures;
        private long ejectedUntilMillis = Long.MIN_VALUE;

        private State(long startedAtEpochMillis) {
            this.startedAtEpochMillis = startedAtEpochMillis;
        }

        /** Returns the requests under way from here. */
        int inFlight() {
            return inFlight;
        }

        /** Returns the prompt tokens sent from here and not yet read, as far as is known. */
        int unreadTokens() {
            return unreadTokens;
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

        /** Counts a request that is sent now. */
        Ticket begin(Optional<String> model, Prompt prompt, long cacheTokens) {
            int tokensToRead = tokensToRead(model, prompt);
            inFlight++;
            unreadTokens += tokensToRead;
            return new Ticket(this, model, prompt, tokensToRead, cacheTokens);
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
    static final class Ticket {
        private final State state;
        private final Optional<String> model;
        private final Prompt prompt;
        private final int tokensToRead;
        private final long cacheTokens;
        private boolean read;
        private boolean ended;

        private Ticket(State state, Optional<String> model, Prompt prompt, int tokensToRead, long cacheTokens) {
            this.state = state;
            this.model = model;
            this.prompt = prompt;
            this.tokensToRead = tokensToRead;
            this.cacheTokens = cacheTokens;
        }

        /** The endpoint has read the prompt: its first output is here. */
        void promptRead() {
            if (!read) {
                read = true;
                state.unreadTokens -= tokensToRead;
                state.keep(model, prompt, cacheTokens);
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
            if (!read) {
                read = true;
                state.unreadTokens -= tokensToRead;
            }
            return true;
        }
    }
}
