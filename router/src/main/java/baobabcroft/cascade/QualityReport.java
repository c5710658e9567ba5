package baobabcroft.cascade;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.rules.VersionId;

/**
 * Ratings that one instance collected since its start, for one version and one kind of request.
 *
 * @param origin origin name of the instance, which differs after each start
 * @param version the version
 * @param kind the kind of request
 * @param evidence cumulative sums of the ratings
 */
public record QualityReport(String origin, VersionId version, RequestKind kind, QualityEvidence evidence) {
    /** Validates the components. */
    public QualityReport {
        checkNotNull(origin);
        checkNotNull(version);
        checkNotNull(kind);
        checkNotNull(evidence);
    }
}
