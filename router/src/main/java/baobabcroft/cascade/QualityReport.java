package baobabcroft.cascade;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.rules.VersionId;

/**
 * One instance's ratings of one version on one kind of request since its start.
 *
 * @param origin the instance, with another name after each start
 * @param version the version
 * @param kind the kind of request
 * @param evidence its sums
 */
public record QualityReport(String origin, VersionId version, RequestKind kind, QualityEvidence evidence) {
    /** Checks the parts. */
    public QualityReport {
        checkNotNull(origin);
        checkNotNull(version);
        checkNotNull(kind);
        checkNotNull(evidence);
    }
}
