package baobabcroft.admin;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Request body for a rollback to an earlier configuration.
 *
 * @param number number of the earlier configuration
 * @param baseNumber number of the configuration that is to be replaced
 */
public record RollbackRequest(
        @JsonProperty(required = true) long number, @JsonProperty(required = true) long baseNumber) {}
