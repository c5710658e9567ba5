package baobabcroft.rollout;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.rules.VersionId;

/**
 * The counts of one instance on one version since the instance started.
 *
 * @param origin name of the instance, unique to each of its starts
 * @param version the version that the counts are about
 * @param evidence the cumulative counts
 */
public record EvidenceReport(String origin, VersionId version, Evidence evidence) {
    /** Rejects null components. */
    public EvidenceReport {
        checkNotNull(origin);
        checkNotNull(version);
        checkNotNull(evidence);
    }
}
