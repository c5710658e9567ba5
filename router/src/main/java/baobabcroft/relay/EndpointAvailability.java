package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.limit.LimitReport;
import baobabcroft.limit.SharedRate;
import com.google.common.base.CharMatcher;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

/**
 * What endpoints have stated in their answers to this instance: that they are shutting down, that they want no requests
 * for some time, or how many they take from all instances together. It holds for one start of an endpoint, whatever the
 * endpoint list says. Not thread-safe.
 */
public final class EndpointAvailability {
    /** Starts of endpoints that are remembered; the least recently used one is forgotten first. */
    private static final int MAX_ENDPOINTS = 4_000;
    /**
     * Longest random extension of a pause, as a share of it. It keeps instances that an endpoint has rejected together
     * from returning together.
     */
    private static final double MAX_EXTENSION_SHARE = 0.25;

    private static final long MAX_EXTENSION_MILLIS = 2_000;
    /** Reports to other instances: as many as fit into a datagram next to loads. */
    private static final int MAX_LIMIT_REPORTS = 60;

    private static final int MAX_DIGITS = 9;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final CharMatcher DIGITS = CharMatcher.inRange('0', '9');

    private final LongSupplier nowMillis;
    private final DoubleSupplier random;
    private final LongSupplier maxPauseMillis;
    private final SharedRateFactory sharedRates;
    private final Listener listener;
    /** By hash of the endpoint's incarnation. */
    private final Map<Long, Statement> statements = new LinkedHashMap<>(16, 0.75F, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Statement> eldest) {
            return size() > MAX_ENDPOINTS;
        }
    };

    /** What one start of an endpoint has stated. */
    private static final class Statement {
        private final StatedLimit limit;
        private boolean leaving;
        private long pausedUntilMillis = Long.MIN_VALUE;

        private Statement(StatedLimit limit) {
            this.limit = limit;
        }
    }

    /** Creates this instance's parts of the limits that endpoints state. */
    @FunctionalInterface
    public interface SharedRateFactory {
        /**
         * Returns this instance's part of a limit.
         *
         * @param incarnationHash names one start of the endpoint
         * @param perSecond requests a second that the endpoint takes from all instances together
         * @return the part
         */
        SharedRate create(long incarnationHash, double perSecond);
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
    }

    private EndpointAvailability(
            LongSupplier nowMillis,
            DoubleSupplier random,
            LongSupplier maxPauseMillis,
            SharedRateFactory sharedRates,
            Listener listener) {
        this.nowMillis = nowMillis;
        this.random = random;
        this.maxPauseMillis = maxPauseMillis;
        this.sharedRates = sharedRates;
        this.listener = listener;
    }

    /**
     * Returns an object without statements of endpoints.
     *
     * @param nowMillis monotonic clock, in milliseconds
     * @param random source of numbers in [0, 1) that spread the ends of pauses
     * @param maxPauseMillis supplies the operator's limit on pauses, in milliseconds; longer ones are shortened to it
     * @param sharedRates creates this instance's parts of the limits that endpoints state
     * @param listener notified of what endpoints state
     * @return the new object
     */
    public static EndpointAvailability create(
            LongSupplier nowMillis,
            DoubleSupplier random,
            LongSupplier maxPauseMillis,
            SharedRateFactory sharedRates,
            Listener listener) {
        return new EndpointAvailability(
                checkNotNull(nowMillis),
                checkNotNull(random),
                checkNotNull(maxPauseMillis),
                checkNotNull(sharedRates),
                checkNotNull(listener));
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
        OptionalLong stated = parseMillis(seconds);
        if (stated.isEmpty()) {
            listener.onUnreadablePause(endpoint, seconds);
            return;
        }
        boolean capped = stated.getAsLong() > maxPauseMillis.getAsLong();
        long pauseMillis = Math.min(stated.getAsLong(), maxPauseMillis.getAsLong());
        double extensionMillis = Math.min(MAX_EXTENSION_MILLIS, MAX_EXTENSION_SHARE * pauseMillis);
        Statement statement = statementOf(endpoint);
        long untilMillis = nowMillis.getAsLong() + pauseMillis + (long) (random.getAsDouble() * extensionMillis);
        statement.pausedUntilMillis = Math.max(statement.pausedUntilMillis, untilMillis);
        listener.onPaused(endpoint, pauseMillis, capped);
    }

    private void limit(EndpointEntry endpoint, AnswerMetadata answer, BiConsumer<StatedLimit, OptionalDouble> update) {
        OptionalDouble stated = OptionalDouble.empty();
        if (answer.limitPerSecond().isPresent()) {
            stated = parseDecimal(answer.limitPerSecond().get());
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

    /** Returns a number of seconds, which may have a fraction, in milliseconds; empty for anything else. */
    private static OptionalLong parseMillis(String seconds) {
        OptionalDouble parsed = parseDecimal(seconds);
        return parsed.isPresent()
                ? OptionalLong.of((long) Math.ceil(parsed.getAsDouble() * MILLIS_PER_SECOND))
                : OptionalLong.empty();
    }

    /** Returns a number without sign or exponent, which may have a fraction; empty for anything else. */
    private static OptionalDouble parseDecimal(String text) {
        List<String> parts = Splitter.on('.').splitToList(text.strip());
        String whole = parts.get(0);
        String fraction = parts.size() == 2 ? parts.get(1) : "0";
        boolean isNumber = parts.size() <= 2
                && !whole.isEmpty()
                && !fraction.isEmpty()
                && whole.length() <= MAX_DIGITS
                && DIGITS.matchesAllOf(whole)
                && DIGITS.matchesAllOf(fraction);
        return isNumber ? OptionalDouble.of(Double.parseDouble(whole + '.' + fraction)) : OptionalDouble.empty();
    }

    /**
     * Returns whether an endpoint may get a request now.
     *
     * @param endpoint the endpoint
     * @return false if it is shutting down, wants none yet, or takes none of this instance at the moment
     */
    public boolean isAvailable(EndpointEntry endpoint) {
        return knownStatement(endpoint)
                .map(statement -> isOpen(statement) && statement.limit.isAvailable())
                .orElse(true);
    }

    private boolean isOpen(Statement statement) {
        return !statement.leaving && statement.pausedUntilMillis <= nowMillis.getAsLong();
    }

    /** Returns a permit for one request to an endpoint that has just been chosen. */
    SendPermit permit(EndpointEntry endpoint) {
        Optional<Boolean> taken = tryTake(endpoint);
        BooleanSupplier onConfirm = () -> {
            boolean isOpen = knownStatement(endpoint).map(this::isOpen).orElse(true);
            return isOpen && taken.or(() -> tryTake(endpoint)).orElse(true);
        };
        Runnable onRelease = () -> {
            if (taken.orElse(false)) {
                statementOf(endpoint).limit.giveBack();
            }
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

    /** Returns the endpoints that may get a request now. */
    ImmutableList<EndpointEntry> available(Collection<EndpointEntry> endpoints) {
        return endpoints.stream().filter(this::isAvailable).collect(ImmutableList.toImmutableList());
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
    public ImmutableList<LimitReport> limitReports() {
        return statements.entrySet().stream()
                .map(entry -> entry.getValue().limit.report(entry.getKey()))
                .flatMap(Optional::stream)
                .sorted(Comparator.comparingLong(LimitReport::ageMillis))
                .limit(MAX_LIMIT_REPORTS)
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Takes in what endpoints have told other instances of their limits.
     *
     * @param reports the reports
     */
    public void onLimitReports(Collection<LimitReport> reports) {
        for (LimitReport report : reports) {
            if (report.perSecond().isPresent() || statements.containsKey(report.incarnationHash())) {
                statementOf(report.incarnationHash()).limit.onReport(report);
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
                        new StatedLimit(nowMillis, random, perSecond -> sharedRates.create(hash, perSecond))));
    }
}
