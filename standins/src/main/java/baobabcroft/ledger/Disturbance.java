package baobabcroft.ledger;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSet;

/**
 * A disturbance as the bench writes it, without its time.
 *
 * @param fields its fields, among them the kind
 */
record Disturbance(ObjectNode fields) {
    private static final String KIND = "kind";
    private static final String DURATION_SECONDS = "for_s";
    private static final String START_SECONDS = "at";
    private static final ImmutableSet<String> PLANNED_KINDS = ImmutableSet.of(
            "add_nodes",
            "big_config",
            "config_change",
            "config_storm",
            "hup",
            "release",
            "revoke",
            "roll_term",
            "rollout_bad",
            "rollout_good",
            "scale_in",
            "scale_out");
    /** Planned work that goes on by itself for some time. */
    private static final ImmutableSet<String> LASTING_PLANS =
            ImmutableSet.of("config_storm", "release", "revoke", "roll_term", "rollout_bad", "rollout_good");

    Disturbance {
        checkArgument(fields.path(KIND).isTextual(), "disturbance without a kind: %s", fields);
    }

    String kind() {
        return fields.path(KIND).asText();
    }

    /** Returns whether it is work of the operators rather than a fault. */
    boolean isPlanned() {
        return PLANNED_KINDS.contains(kind());
    }

    /** Returns whether something else can happen while it goes on. */
    boolean isLasting() {
        return fields.has(DURATION_SECONDS) || LASTING_PLANS.contains(kind());
    }

    /** Returns a copy that starts at a time and lasts at least so long, if it lasts at all. */
    ObjectNode at(double startSeconds, double minDurationSeconds) {
        ObjectNode entry = fields.deepCopy().put(START_SECONDS, startSeconds);
        if (fields.has(DURATION_SECONDS)) {
            entry.put(
                    DURATION_SECONDS,
                    Math.max(minDurationSeconds, fields.path(DURATION_SECONDS).asDouble()));
        }
        return entry;
    }
}
