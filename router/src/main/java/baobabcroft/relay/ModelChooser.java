package baobabcroft.relay;

import baobabcroft.routing.Route;
import java.util.Optional;

/** Chooses the model of a request whose caller leaves it open. */
@FunctionalInterface
public interface ModelChooser {
    /**
     * Returns the model to ask.
     *
     * @param route the route, whose models are listed smallest first
     * @param prompt the prompt
     * @return one of the route's models, or empty if the route names none
     */
    Optional<String> choose(Route route, Prompt prompt);

    /**
     * Returns a chooser that always takes the largest model.
     *
     * @return the chooser
     */
    static ModelChooser largest() {
        return (route, prompt) -> route.models().isEmpty()
                ? Optional.empty()
                : Optional.of(route.models().get(route.models().size() - 1));
    }
}
