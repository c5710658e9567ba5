package baobabcroft.relay;

import baobabcroft.routing.Route;
import java.util.Optional;
import java.util.OptionalInt;

/** Chooses the model of a request whose caller leaves it open, and whether its answer is good enough to keep. */
public interface ModelChooser {
    /**
     * Returns the model to ask first.
     *
     * @param route the route, whose models are listed smallest first
     * @param prompt the prompt
     * @return one of the route's models, or empty if the route names none
     */
    Optional<String> first(Route route, Prompt prompt);

    /**
     * Returns the model to ask instead of keeping an answer of which the caller has received nothing.
     *
     * @param route the route
     * @param prompt the prompt
     * @param model the model that answered
     * @param confidencePercent its opinion of its answer, if it gave one
     * @return a larger model, or empty if the answer is to be kept
     */
    Optional<String> instead(Route route, Prompt prompt, String model, OptionalInt confidencePercent);
}
