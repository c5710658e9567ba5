/**
 * Assigns versions to new sessions, rolls out new versions of services, and stops versions that degrade.
 *
 * <p>{@link baobabcroft.rollout.EvidenceLedger} gathers the counts of all instances, {@link
 * baobabcroft.rollout.BadVersionDetector} tests them, and {@link baobabcroft.rollout.StoppedVersions} holds the stopped
 * versions, which {@link baobabcroft.rollout.VersionAssignment} excludes. {@link baobabcroft.rollout.FleetRollouts}
 * moves services from one version to the next in stages.
 */
package baobabcroft.rollout;
