package baobabcroft.admin;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Request body for a change of the rules.
 *
 * @param text the whole new rules file
 * @param baseNumber number of the configuration that the operator edited; 0 if there was none
 * @param comment reason for the change
 */
public record ApplyRequest(
        @JsonProperty(required = true) String text,
        @JsonProperty(required = true) long baseNumber,
        @JsonProperty(required = true) String comment) {}
