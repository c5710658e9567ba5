package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.Decimals;
import baobabcroft.common.StatedPause;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.limit.BoundReport;
import baobabcroft.limit.FleetView;
import baobabcroft.limit.SharedConcurrency;
import baobabcroft.limit.SharedRate;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import com.google.common.primitives.Ints;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.function.ToIntFunction;

/**
 * What endpoints have stated in their answers to this instance: that they are shutting down, that they want no requests
 * for some time, or how many they take from all instances together. It holds for one start of an endpoint, whatever the
 * endpoint list says. Not thread-safe.
 */
public final class EndpointAvailability {
    /** Starts of endpoints that are remembered; the least recently used one is forgotten first. */
    private static final int MAX_ENDPOINTS = 4_000;
    /** Reports to other instances: as many as fit into a datagram next to loads. */
    private static final int MAX_LIMIT_REPORTS = 60;

    private final LongSupplier nowMillis;
    private final DoubleSupplier random;
    private final LongSupplier maxPauseMillis;
    private final FleetView fleet;
    private final ToIntFunction<EndpointEntry> openRequests;
    private final Listener listener;
    private SendGate gate = SendGate.OPEN;
    /** By hash of the endpoint's incarnation. */
    private final Map<Long, Statement> statements = new LinkedHashMap<>(16, 0.75F, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Statement> eldest) {
            return size() > MAX_ENDPOINTS;
        }
    };

    /** Rejections a second that the endpoints of a service tolerate, by hash of its name. */
    private final Map<Long, StatedBound> toleratedByService = new HashMap<>();

    /** What one start of an endpoint has stated. */
    private static final class Statement {
        private final StatedLimit limit;
        private final Brittleness brittleness;
        private boolean leaving;
        private long pausedUntilMillis = Long.MIN_VALUE;

        private Statement(StatedLimit limit, Brittleness brittleness) {
            this.limit = limit;
            this.brittleness = brittleness;
        }
    }

    /** Notified of what endpoints state. */
    public interface Listener {
        /**
         * Called when an endpoint has stated for the first time that it is shutting down.
         *
         * @param endpoint the endpoint
         */
        void onLeaving(EndpointEntry endpoint);

        /**
         * Called when an endpoint wants no requests for some time.
         *
         * @param endpoint the endpoint
         * @param pauseMillis for how long it gets none, in milliseconds
         * @param capped whether it wanted none for longer than the operator's limit
         */
        void onPaused(EndpointEntry endpoint, long pauseMillis, boolean capped);

        /**
         * Called when an endpoint has stated a pause that is not a number of seconds, which is ignored.
         *
         * @param endpoint the endpoint
         * @param value what it stated
         */
        void onUnreadablePause(EndpointEntry endpoint, String value);

        /**
         * Called when an endpoint has stated a limit on the rate of requests, or another one than before.
         *
         * @param endpoint the endpoint
         * @param limitPerSecond requests a second that it takes from all instances together
         */
        void onLimited(EndpointEntry endpoint, double limitPerSecond);

        /**
         * Called when an endpoint no longer states a limit on the rate of requests.
         *
         * @param endpoint the endpoint
         */
        void onLimitEnded(EndpointEntry endpoint);

        /**
         * Called when an endpoint has stated a limit that is not a number, which is ignored.
         *
         * @param endpoint the endpoint
         * @param value what it stated
         */
        void onUnreadableLimit(EndpointEntry endpoint, String value);

        /**
         * Called when an endpoint has stated that it falls over if it has to reject too many requests.
         *
         * @param endpoint the endpoint
         * @param toleratedRejections rejections a second that it tolerates
         */
        void onBrittle(EndpointEntry endpoint, int toleratedRejections);

        /**
         * Called when an endpoint no longer states that it falls over.
         *
         * @param endpoint the endpoint
         */
        void onBrittleEnded(EndpointEntry endpoint);
    }

    private EndpointAvailability(
            LongSupplier nowMillis,
            DoubleSupplier random,
            LongSupplier maxPauseMillis,
            FleetView fleet,
            ToIntFunction<EndpointEntry> openRequests,
            Listener listener) {
        this.nowMillis = nowMillis;
        this.random = random;
        this.maxPauseMillis = maxPauseMillis;
        this.fleet = fleet;
        this.openRequests = openRequests;
        this.listener = listener;
    }

    /**
     * Returns an object without statements of endpoints.
     *
     * @param nowMillis monotonic clock, in milliseconds
     * @param random source of numbers in [0, 1) that spread the ends of pauses
     * @param maxPauseMillis supplies the operator's limit on pauses, in milliseconds; longer ones are shortened to it
     * @param fleet the instances that share the limits that endpoints state
     * @param openRequests returns how many requests this instance has open at an endpoint
     * @param listener notified of what endpoints state
     * @return the new object
     */
    public static EndpointAvailability create(
            LongSupplier nowMillis,
            DoubleSupplier random,
            LongSupplier maxPauseMillis,
            FleetView fleet,
            ToIntFunction<EndpointEntry> openRequests,
            Listener listener) {
        return new EndpointAvailability(
                checkNotNull(nowMillis),
                checkNotNull(random),
                checkNotNull(maxPauseMillis),
                checkNotNull(fleet),
                checkNotNull(openRequests),
                checkNotNull(listener));
    }

    /**
     * Sets what limits the sends to endpoints beside their own statements; to be called before the first request.
     *
     * @param newGate grants each send
     */
    public void limitSends(SendGate newGate) {
        gate = checkNotNull(newGate);
    }

    /**
     * Takes in the answer to a request of this instance.
     *
     * @param endpoint the endpoint that answered
     * @param answer what its status and headers say
     * @param sentAtMillis when the request was sent, by the monotonic clock in milliseconds
     */
    void onAnswer(EndpointEntry endpoint, AnswerMetadata answer, long sentAtMillis) {
        leaving(endpoint, answer);
        answer.pauseSeconds().ifPresent(seconds -> pause(endpoint, seconds));
        limit(endpoint, answer, (limit, stated) -> limit.onAnswer(stated, sentAtMillis));
        brittleness(endpoint, answer, sentAtMillis);
    }

    private void brittleness(EndpointEntry endpoint, AnswerMetadata answer, long sentAtMillis) {
        OptionalInt stated = answer.toleratedRejections()
                .flatMap(text -> Optional.ofNullable(Ints.tryParse(text.strip())))
                .filter(number -> number >= 0)
                .map(OptionalInt::of)
                .orElse(OptionalInt.empty());
        StatedBound ofService = toleratedByService.get(hashOf(endpoint.service()));
        if (stated.isEmpty() && ofService == null) {
            return;
        }
        Brittleness brittleness = statementOf(endpoint).brittleness;
        boolean wasBrittle = brittleness.stated().isPresent();
        brittleness.onAnswer(stated, sentAtMillis);
        toleratedOf(hashOf(endpoint.service()))
                .onAnswer(
                        stated.isPresent() ? OptionalDouble.of(stated.getAsInt()) : OptionalDouble.empty(),
                        sentAtMillis);
        if (answer.notRun() && !answer.otherEndpoint()) {
            brittleness.onRejected();
        } else {
            brittleness.onAccepted();
        }
        boolean isBrittle = brittleness.stated().isPresent();
        if (isBrittle && !wasBrittle) {
            listener.onBrittle(endpoint, brittleness.stated().getAsInt());
        } else if (wasBrittle && !isBrittle) {
            listener.onBrittleEnded(endpoint);
        }
    }

    /** Returns the rejections that an endpoint tolerates; one that has not answered yet is taken for the others. */
    private OptionalInt toleratedRejections(EndpointEntry endpoint, Optional<Statement> statement) {
        if (toleratedByService.isEmpty()) {
            return OptionalInt.empty();
        }
        StatedBound ofService = toleratedByService.get(hashOf(endpoint.service()));
        if (ofService == null) {
            return OptionalInt.empty();
        }
        if (statement.isPresent() && statement.get().brittleness.isStatedSince(ofService.startedAtMillis())) {
            return statement.get().brittleness.stated();
        }
        OptionalDouble bound = ofService.bound();
        return bound.isPresent() ? OptionalInt.of((int) bound.getAsDouble()) : OptionalInt.empty();
    }

    private StatedBound toleratedOf(long serviceHash) {
        return toleratedByService.computeIfAbsent(serviceHash, hash -> new StatedBound(nowMillis));
    }

    private static long hashOf(String service) {
        return Hashing.murmur3_128().hashString(service, StandardCharsets.UTF_8).asLong();
    }

    /**
     * Takes in an answer to another request than the open one, such as a second copy. It may state that the endpoint is
     * shutting down or a lower limit, but no pause, as that would prolong the first copy's.
     *
     * @param endpoint the endpoint that answered
     * @param answer what its status and headers say
     */
    void onOtherAnswer(EndpointEntry endpoint, AnswerMetadata answer) {
        leaving(endpoint, answer);
        limit(endpoint, answer, StatedLimit::onOtherAnswer);
    }

    private void leaving(EndpointEntry endpoint, AnswerMetadata answer) {
        if (answer.leaving() && !statementOf(endpoint).leaving) {
            statementOf(endpoint).leaving = true;
            listener.onLeaving(endpoint);
        }
    }

    private void pause(EndpointEntry endpoint, String seconds) {
        Optional<StatedPause> stated = StatedPause.parse(seconds);
        if (stated.isEmpty()) {
            listener.onUnreadablePause(endpoint, seconds);
            return;
        }
        StatedPause pause = stated.get().atMost(maxPauseMillis.getAsLong());
        Statement statement = statementOf(endpoint);
        long untilMillis = nowMillis.getAsLong() + pause.extendedMillis(random.getAsDouble());
        statement.pausedUntilMillis = Math.max(statement.pausedUntilMillis, untilMillis);
        listener.onPaused(endpoint, pause.millis(), !pause.equals(stated.get()));
    }

    private void limit(EndpointEntry endpoint, AnswerMetadata answer, BiConsumer<StatedLimit, OptionalDouble> update) {
        OptionalDouble stated = OptionalDouble.empty();
        if (answer.limitPerSecond().isPresent()) {
            stated = Decimals.parse(answer.limitPerSecond().get());
            if (stated.isEmpty()) {
                listener.onUnreadableLimit(endpoint, answer.limitPerSecond().get());
                return;
            }
        }
        if (stated.isEmpty() && knownStatement(endpoint).isEmpty()) {
            return;
        }
        StatedLimit limit = statementOf(endpoint).limit;
        OptionalDouble before = limit.perSecond();
        update.accept(limit, stated);
        OptionalDouble after = limit.perSecond();
        if (after.isPresent() && !after.equals(before)) {
            listener.onLimited(endpoint, after.getAsDouble());
        } else if (after.isEmpty() && before.isPresent()) {
            listener.onLimitEnded(endpoint);
        }
    }

    /**
     * Returns whether an endpoint may get a request now.
     *
     * @param endpoint the endpoint
     * @return false if it is shutting down, wants none yet, or takes none of this instance at the moment
     */
    public boolean isAvailable(EndpointEntry endpoint) {
        return unavailability(endpoint).isEmpty();
    }

    /**
     * Returns why an endpoint may not get a request now.
     *
     * @param endpoint the endpoint
     * @return the reason; empty if it may get one
     */
    public Optional<Ineligibility> unavailability(EndpointEntry endpoint) {
        Optional<Statement> statement = knownStatement(endpoint);
        if (statement.isPresent()) {
            if (statement.get().leaving) {
                return Optional.of(Ineligibility.LEAVING);
            }
            if (!isOpen(statement.get())) {
                return Optional.of(Ineligibility.PAUSED);
            }
            if (!statement.get().limit.isAvailable()) {
                return Optional.of(Ineligibility.LIMIT_REACHED);
            }
        }
        OptionalInt tolerated = toleratedRejections(endpoint, statement);
        boolean hasRoom = tolerated.isEmpty()
                || statementOf(endpoint)
                        .brittleness
                        .isAvailable(tolerated.getAsInt(), endpoint.slots(), openRequests.applyAsInt(endpoint));
        return hasRoom ? Optional.empty() : Optional.of(Ineligibility.BRITTLE);
    }

    /**
     * Returns the instances that hold a part of what the endpoints take from all instances together.
     *
     * @param endpoints endpoints that may get requests but none of this instance now
     * @return the names; empty if none of the endpoints has stated such a bound
     */
    ImmutableSet<String> holders(Collection<EndpointEntry> endpoints) {
        ImmutableSet.Builder<String> holders = ImmutableSet.builder();
        for (EndpointEntry endpoint : endpoints) {
            Optional<Statement> statement = knownStatement(endpoint);
            if (statement.map(this::isOpen).orElse(true)) {
                holders.addAll(gate.holders(endpoint));
                statement.ifPresent(known -> holders.addAll(known.limit.holders()));
                toleratedRejections(endpoint, statement)
                        .ifPresent(tolerated ->
                                holders.addAll(statementOf(endpoint).brittleness.holders(tolerated, endpoint.slots())));
            }
        }
        return holders.build();
    }

    private boolean isOpen(Statement statement) {
        return !statement.leaving && statement.pausedUntilMillis <= nowMillis.getAsLong();
    }

    /** Returns a permit for one request to an endpoint that has just been chosen. */
    SendPermit permit(EndpointEntry endpoint) {
        Optional<Boolean> taken = tryTake(endpoint);
        SendGate.Pass pass = gate.enter(endpoint);
        BooleanSupplier onConfirm = () -> {
            boolean isOpen = knownStatement(endpoint).map(this::isOpen).orElse(true);
            return isOpen && taken.or(() -> tryTake(endpoint)).orElse(true) && pass.confirm();
        };
        Runnable onRelease = () -> {
            if (taken.orElse(false)) {
                statementOf(endpoint).limit.giveBack();
            }
            pass.release();
        };
        return new SendPermit(onConfirm, onRelease);
    }

    private Optional<Boolean> tryTake(EndpointEntry endpoint) {
        return knownStatement(endpoint).flatMap(statement -> statement.limit.tryTake());
    }

    /** Returns the endpoints that have not stated that they are shutting down. */
    ImmutableList<EndpointEntry> withoutLeaving(Collection<EndpointEntry> endpoints) {
        return endpoints.stream()
                .filter(endpoint -> knownStatement(endpoint)
                        .map(statement -> !statement.leaving)
                        .orElse(true))
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns whether an endpoint has stated that it is shutting down.
     *
     * @param endpoint the endpoint
     * @return whether it has, since its last start
     */
    public boolean isLeaving(EndpointEntry endpoint) {
        return knownStatement(endpoint).map(statement -> statement.leaving).orElse(false);
    }

    /**
     * Returns the time until the first of the endpoints takes a request of this instance, in milliseconds; empty if
     * that is not known of any, or no endpoint has stated anything.
     */
    OptionalLong soonestMillis(Collection<EndpointEntry> endpoints) {
        return withoutLeaving(endpoints).stream()
                .map(this::knownStatement)
                .flatMap(Optional::stream)
                .map(this::millisUntilAvailable)
                .flatMapToLong(OptionalLong::stream)
                .filter(millis -> millis > 0)
                .min();
    }

    /** Returns the pauses of those of the endpoints that want no requests now, in the order of their ends. */
    ImmutableList<PauseQueue.Pause> pauses(Collection<EndpointEntry> endpoints) {
        return endpoints.stream()
                .flatMap(endpoint -> knownStatement(endpoint).stream()
                        .filter(statement -> !statement.leaving)
                        .map(statement -> new PauseQueue.Pause(
                                endpoint.slots(), statement.pausedUntilMillis - nowMillis.getAsLong())))
                .filter(pause -> pause.millis() > 0)
                .sorted(Comparator.comparingLong(PauseQueue.Pause::millis))
                .collect(ImmutableList.toImmutableList());
    }

    private OptionalLong millisUntilAvailable(Statement statement) {
        long pauseMillis = Math.max(0, statement.pausedUntilMillis - nowMillis.getAsLong());
        OptionalLong limitMillis = statement.limit.millisUntilAvailable();
        return limitMillis.isPresent()
                ? OptionalLong.of(Math.max(pauseMillis, limitMillis.getAsLong()))
                : OptionalLong.empty();
    }

    /**
     * Returns what endpoints have told this instance of their limits.
     *
     * @return the latest reports, for other instances
     */
    public ImmutableList<BoundReport> limitReports() {
        return statements.entrySet().stream()
                .map(entry -> entry.getValue().limit.report(entry.getKey()))
                .flatMap(Optional::stream)
                .sorted(Comparator.comparingLong(BoundReport::ageMillis))
                .limit(MAX_LIMIT_REPORTS)
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns what endpoints have told this instance of the rejections that they tolerate.
     *
     * @return the latest reports by service, for other instances
     */
    public ImmutableList<BoundReport> toleratedRejectionReports() {
        return toleratedByService.entrySet().stream()
                .map(entry -> entry.getValue().report(entry.getKey()))
                .flatMap(Optional::stream)
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Takes in what endpoints have told other instances.
     *
     * @param limits reports of limits, by start of the endpoint
     * @param toleratedRejections reports of the rejections that endpoints tolerate, by service
     */
    public void onReports(Collection<BoundReport> limits, Collection<BoundReport> toleratedRejections) {
        for (BoundReport report : limits) {
            if (report.bound().isPresent() || statements.containsKey(report.subjectHash())) {
                statementOf(report.subjectHash()).limit.onReport(report);
            }
        }
        for (BoundReport report : toleratedRejections) {
            if (report.bound().isPresent() || toleratedByService.containsKey(report.subjectHash())) {
                toleratedOf(report.subjectHash()).onReport(report);
            }
        }
    }

    private Optional<Statement> knownStatement(EndpointEntry endpoint) {
        return statements.isEmpty()
                ? Optional.empty()
                : Optional.ofNullable(statements.get(endpoint.incarnationHash()));
    }

    private Statement statementOf(EndpointEntry endpoint) {
        return statementOf(endpoint.incarnationHash());
    }

    private Statement statementOf(long incarnationHash) {
        return statements.computeIfAbsent(
                incarnationHash,
                hash -> new Statement(
                        new StatedLimit(
                                nowMillis,
                                random,
                                perSecond -> SharedRate.create(hash, fleet, perSecond, nowMillis, random)),
                        new Brittleness(nowMillis, random, SharedConcurrency.create(hash, fleet))));
    }
}
