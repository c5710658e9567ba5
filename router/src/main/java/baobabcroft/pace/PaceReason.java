package baobabcroft.pace;

import java.util.Locale;

/** Why an endpoint gets requests at a limited pace. */
public enum PaceReason {
    /** It was listed for the first time, or with a new start, while this instance was running. */
    STARTED,
    /** Its entry states that it is cold. */
    STATED_COLD,
    /** Its connections failed of late, and no entry that was written since has been received. */
    FAILED,
    /** The evacuation of its failure domain has ended, and no entry that was written since has been received. */
    RETURNED;

    /**
     * Returns the name of the reason in metrics and log lines.
     *
     * @return lower-case words joined by underscores
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
