package baobabcroft.cascade;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.rules.VersionId;
import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;

/**
 * Ratings of all instances by version and kind of request, by origin, so that each counts once however often it is
 * heard.
 *
 * <p>Thread-safe; the lock is held for a few steps.
 */
public final class QualityLedger {
    private final String self;
    private final Map<Key, Map<String, QualityEvidence>> evidence = new HashMap<>();

    private record Key(VersionId version, RequestKind kind) {}

    private QualityLedger(String self) {
        this.self = self;
    }

    /**
     * Returns an empty ledger.
     *
     * @param self name of this instance, another one after each start
     * @return the ledger
     */
    public static QualityLedger create(String self) {
        return new QualityLedger(checkNotNull(self));
    }

    /**
     * Adds a rating that this instance received.
     *
     * @param version the version whose answer was rated
     * @param kind the kind of request
     * @param rating the rating, from zero to one
     * @param target the rating under which an answer is short
     */
    public synchronized void addRating(VersionId version, RequestKind kind, double rating, double target) {
        origins(new Key(version, kind)).merge(self, QualityEvidence.of(rating, target), QualityEvidence::plus);
    }

    /**
     * Takes another instance's ratings. Its own ones told back to it are ignored.
     *
     * @param report what it told
     */
    public synchronized void merge(QualityReport report) {
        if (!report.origin().equals(self)) {
            origins(new Key(report.version(), report.kind()))
                    .merge(report.origin(), report.evidence(), QualityEvidence::latest);
        }
    }

    /**
     * Returns all sums known, of this instance and others, to tell other instances.
     *
     * @return one report an origin, version and kind
     */
    public synchronized ImmutableList<QualityReport> reports() {
        ImmutableList.Builder<QualityReport> reports = ImmutableList.builder();
        evidence.forEach((key, origins) -> origins.forEach(
                (origin, sums) -> reports.add(new QualityReport(origin, key.version(), key.kind(), sums))));
        return reports.build();
    }

    /**
     * Returns the evidence of all instances.
     *
     * @param version the version
     * @param kind the kind of request
     * @return the sum over all origins
     */
    public synchronized QualityEvidence total(VersionId version, RequestKind kind) {
        return evidence.getOrDefault(new Key(version, kind), Map.of()).values().stream()
                .reduce(QualityEvidence.NONE, QualityEvidence::plus);
    }

    private Map<String, QualityEvidence> origins(Key key) {
        return evidence.computeIfAbsent(key, unused -> new HashMap<>());
    }
}
