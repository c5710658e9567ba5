package baobabcroft.admin;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Body of a request to go back to an earlier configuration.
 *
 * @param number number of the earlier configuration
 * @param baseNumber number of the configuration that the operator wants to replace
 */
public record RollbackRequest(
        @JsonProperty(required = true) long number, @JsonProperty(required = true) long baseNumber) {}
