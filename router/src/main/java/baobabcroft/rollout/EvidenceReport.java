package baobabcroft.rollout;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.rules.VersionId;

/**
 * One instance's counts on one version since its start.
 *
 * @param origin the instance, with another name after each start
 * @param version the version
 * @param evidence its counts
 */
public record EvidenceReport(String origin, VersionId version, Evidence evidence) {
    /** Checks the parts. */
    public EvidenceReport {
        checkNotNull(origin);
        checkNotNull(version);
        checkNotNull(evidence);
    }
}
