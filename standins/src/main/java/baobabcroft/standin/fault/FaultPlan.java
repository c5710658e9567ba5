package baobabcroft.standin.fault;

import static com.google.common.base.Preconditions.checkArgument;

import baobabcroft.standin.http.Exchange;
import com.google.common.collect.ImmutableMap;
import com.google.common.util.concurrent.AtomicLongMap;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/** Selects the fault to inject into each request. Deterministic for a seed and an order of requests. Thread-safe. */
public final class FaultPlan {
    private static final long DEFAULT_OUTAGE_MILLIS = 2_000;
    private static final long DEFAULT_LATE_MILLIS = 1_000;

    private final long seed;
    private final Map<FaultKind, Double> rates = new EnumMap<>(FaultKind.class);
    private final AtomicLongMap<FaultKind> injectedCounts = AtomicLongMap.create();
    private SplittableRandom random;
    private Optional<String> crashTrigger = Optional.empty();
    private long outageMillis = DEFAULT_OUTAGE_MILLIS;
    private long lateMillis = DEFAULT_LATE_MILLIS;

    private FaultPlan(long seed) {
        this.seed = seed;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Returns a plan without faults.
     *
     * @param seed seed of the random selection
     * @return the plan
     */
    public static FaultPlan create(long seed) {
        return new FaultPlan(seed);
    }

    /**
     * Returns the fault to inject into a request, and counts it.
     *
     * @param body the request body
     * @return the fault, or empty if the request is to be served normally
     */
    public synchronized Optional<FaultKind> selectFault(String body) {
        Optional<FaultKind> fault =
                crashTrigger.filter(body::contains).isPresent() ? Optional.of(FaultKind.CRASH) : selectByRate();
        fault.ifPresent(injectedCounts::incrementAndGet);
        return fault;
    }

    private Optional<FaultKind> selectByRate() {
        if (rates.isEmpty()) {
            return Optional.empty();
        }
        double drawn = random.nextDouble();
        for (Map.Entry<FaultKind, Double> rate : rates.entrySet()) {
            drawn -= rate.getValue();
            if (drawn < 0) {
                return Optional.of(rate.getKey());
            }
        }
        return Optional.empty();
    }

    /**
     * Sets the share of requests into which a fault is injected.
     *
     * @param kind the fault
     * @param rate the share, from 0 to 1
     * @throws IllegalArgumentException if the share is out of range
     */
    public synchronized void setRate(FaultKind kind, double rate) {
        checkArgument(rate >= 0 && rate <= 1, "rate must be from 0 to 1, was %s", rate);
        if (rate == 0) {
            rates.remove(kind);
        } else {
            rates.put(kind, rate);
        }
    }

    /**
     * Injects a crash into each request whose body contains a text.
     *
     * @param text the text; not empty
     * @throws IllegalArgumentException if the text is empty
     */
    public synchronized void crashOn(String text) {
        checkArgument(!text.isEmpty(), "the text must not be empty");
        crashTrigger = Optional.of(text);
    }

    /**
     * Sets how long connections are refused after a crash.
     *
     * @param millis the time, in milliseconds
     */
    public synchronized void setOutageMillis(long millis) {
        outageMillis = millis;
    }

    /**
     * Returns how long connections are refused after a crash.
     *
     * @return the time, in milliseconds
     */
    public synchronized long outageMillis() {
        return outageMillis;
    }

    /**
     * Sets the delay of late responses.
     *
     * @param millis the delay, in milliseconds
     */
    public synchronized void setLateMillis(long millis) {
        lateMillis = millis;
    }

    /**
     * Returns the delay of late responses.
     *
     * @return the delay, in milliseconds
     */
    public synchronized long lateMillis() {
        return lateMillis;
    }

    /**
     * Returns the number of injected faults by kind.
     *
     * @return the non-zero counts
     */
    public ImmutableMap<FaultKind, Long> injectedCounts() {
        return ImmutableMap.copyOf(injectedCounts.asMap());
    }

    /** Clears all faults and counters, and restarts the random selection from the seed. */
    public synchronized void reset() {
        rates.clear();
        injectedCounts.clear();
        crashTrigger = Optional.empty();
        outageMillis = DEFAULT_OUTAGE_MILLIS;
        lateMillis = DEFAULT_LATE_MILLIS;
        random = new SplittableRandom(seed);
    }

    /**
     * Executes a control request: {@code fault?kind=&rate=}, {@code crash-on?text=}, {@code outage?millis=},
     * {@code late?millis=} or {@code reset}.
     *
     * @param command the last segment of the path
     * @param exchange the request, which carries the query parameters
     * @return whether the command was recognised
     */
    public boolean control(String command, Exchange exchange) {
        switch (command) {
            case "fault" -> setRate(kindOf(exchange), exchange.doubleParameter("rate", 1));
            case "crash-on" -> crashOn(exchange.parameter("text").orElse(""));
            case "outage" -> setOutageMillis(exchange.longParameter("millis", DEFAULT_OUTAGE_MILLIS));
            case "late" -> setLateMillis(exchange.longParameter("millis", DEFAULT_LATE_MILLIS));
            case "reset" -> reset();
            default -> {
                return false;
            }
        }
        return true;
    }

    private static FaultKind kindOf(Exchange exchange) {
        String name = exchange.parameter("kind").orElse("");
        return FaultKind.valueOf(name.replace('-', '_').toUpperCase(Locale.ROOT));
    }
}
