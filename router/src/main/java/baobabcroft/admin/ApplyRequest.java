package baobabcroft.admin;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Body of a request to change the rules.
 *
 * @param text the whole new rules file
 * @param baseNumber number of the configuration that the operator started from
 * @param comment why the change is made
 */
public record ApplyRequest(
        @JsonProperty(required = true) String text,
        @JsonProperty(required = true) long baseNumber,
        @JsonProperty(required = true) String comment) {}
