package baobabcroft.config;

import baobabcroft.config.Confirmations.Progress;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.membership.Quorum;
import baobabcroft.rules.ParsedRules;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * The applied configuration of one instance, and the state reported by the others.
 *
 * <p>Modified by one thread at a time; {@link #grant} and {@link #current} may be read by any thread.
 */
final class ConfigState {
    private static final EventLog LOG = EventLog.of(ConfigState.class);
    private static final int MAX_KEPT_DOCUMENTS = 8;

    private final ConfigContext context;
    private final Authority authority;
    private final Confirmations confirmations = new Confirmations();
    private final TreeMap<Long, ConfigDocument> recent = new TreeMap<>();
    private final TreeMap<Long, Long> appliedNanosByNumber = new TreeMap<>();
    private final List<ConfigListener> listeners = new ArrayList<>();
    private volatile Optional<AppliedConfig> current = Optional.empty();
    private volatile Grant grant = Grant.NONE;
    private long rejectedNumber;

    /** Permission to accept new work under one configuration number until the given monotonic time. */
    record Grant(long number, OptionalLong untilNanos) {
        static final Grant NONE = new Grant(0, OptionalLong.empty());

        boolean isValidAt(long nowNanos) {
            return untilNanos.isPresent() && nowNanos < untilNanos.getAsLong();
        }
    }

    ConfigState(ConfigContext context) {
        this.context = context;
        this.authority = new Authority(context.self(), context.timings().freshnessNanos(), context.members());
    }

    void addListener(ConfigListener listener) {
        listeners.add(listener);
        current.ifPresent(listener::onApplied);
    }

    Optional<AppliedConfig> current() {
        return current;
    }

    Grant grant() {
        return grant;
    }

    Authority authority() {
        return authority;
    }

    Confirmations confirmations() {
        return confirmations;
    }

    long number() {
        return current.map(AppliedConfig::number).orElse(0L);
    }

    Optional<ConfigDocument> recentDocument(long number) {
        return Optional.ofNullable(recent.get(number));
    }

    /** Returns the document of a change if it is among the latest applied ones. */
    Optional<ConfigDocument> recentChange(String changeId) {
        return recent.values().stream()
                .filter(document -> document.changeId().equals(changeId))
                .findFirst();
    }

    /** Applies a document if its number is greater than the applied one and its rules are valid. */
    boolean apply(ConfigDocument document) {
        if (document.number() <= number() || document.number() == rejectedNumber) {
            return false;
        }
        if (!(context.parser().apply(document.rulesText()) instanceof ParsedRules.Valid valid)) {
            LOG.log(LogEvent.CONFIG_UNREADABLE, document.number(), "keeping " + number());
            rejectedNumber = document.number();
            return false;
        }
        long nowNanos = context.ticker().read();
        AppliedConfig applied = new AppliedConfig(document, valid.rules());
        recent.put(document.number(), document);
        appliedNanosByNumber.put(document.number(), nowNanos);
        trim();
        authority.recordApplied(document.number());
        current = Optional.of(applied);
        refreshGrant();
        listeners.forEach(listener -> listener.onApplied(applied));
        return true;
    }

    /** Updates the authority after new evidence or a change of the applied number. */
    void refreshGrant() {
        long nowNanos = context.ticker().read();
        grant = new Grant(number(), authority.freshUntilNanos(nowNanos));
        if (authority.isEstablished()) {
            confirmations.recordResponse(context.self(), context.incarnation(), number(), nowNanos, nowNanos);
        }
    }

    Progress progress(long number) {
        long nowNanos = context.ticker().read();
        Long appliedNanos = appliedNanosByNumber.ceilingKey(number) == null
                ? Long.valueOf(nowNanos)
                : appliedNanosByNumber.ceilingEntry(number).getValue();
        Quorum quorum = context.members().acceptanceQuorum(appliedNanos);
        return confirmations.progress(number, quorum, context.timings().acceptanceNanos(), nowNanos);
    }

    private void trim() {
        while (recent.size() > MAX_KEPT_DOCUMENTS) {
            recent.pollFirstEntry();
            appliedNanosByNumber.pollFirstEntry();
        }
    }
}
