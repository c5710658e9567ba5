package baobabcroft.relay;

import baobabcroft.routing.Route;
import java.util.Optional;
import java.util.OptionalInt;

/** Chooses the model for requests that leave the choice to the router, and decides whether to keep its answer. */
public interface ModelChooser {
    /**
     * Returns the model that is asked first.
     *
     * @param route the route, whose models are ordered from smallest to largest
     * @param prompt size and parts of the prompt
     * @return one of the route's models, or empty if the route names none
     */
    Optional<String> initialModel(Route route, Prompt prompt);

    /**
     * Returns the larger model that replaces an answer of which the caller has not received anything.
     *
     * @param route the route, whose models are ordered from smallest to largest
     * @param prompt size and parts of the prompt
     * @param model the model that answered
     * @param confidencePercent the model's confidence in its answer, in percent; empty if not given
     * @return a larger model, or empty if the answer is kept
     */
    Optional<String> escalationModel(Route route, Prompt prompt, String model, OptionalInt confidencePercent);
}
