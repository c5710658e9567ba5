package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.routing.AllowedRegions;
import baobabcroft.routing.ServiceProfile;
import java.util.Optional;

/**
 * What rules on endpoints know of a request.
 *
 * @param allowedRegions the regions that its route and its client account allow
 * @param profile configuration of the service that is to serve it; empty if there is none
 * @param model the model that is to answer, if the router has chosen one
 * @param prompt size and parts of its prompt
 */
public record EligibilityRequest(
        AllowedRegions allowedRegions, Optional<ServiceProfile> profile, Optional<String> model, Prompt prompt) {
    /** Validates the components. */
    public EligibilityRequest {
        checkNotNull(allowedRegions);
        checkNotNull(profile);
        checkNotNull(model);
        checkNotNull(prompt);
    }
}
