/**
 * Assigns versions to new sessions and stops versions that turned bad.
 *
 * <p>{@link baobabcroft.rollout.EvidenceLedger} gathers what all instances saw, {@link
 * baobabcroft.rollout.BadVersionDetector} tests it, and {@link baobabcroft.rollout.StoppedVersions} is the aggregate of
 * stopped versions, which {@link baobabcroft.rollout.VersionAssignment} leaves out.
 */
package baobabcroft.rollout;
