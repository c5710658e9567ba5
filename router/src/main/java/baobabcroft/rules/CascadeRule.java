package baobabcroft.rules;

import java.util.List;

/**
 * A name that callers use as a model and that stands for several models, cheapest first.
 *
 * @param name the cascade's name
 * @param models the models in the order of cost
 * @param qualityTarget mean quality between 0 and 1 that the answers must reach
 */
public record CascadeRule(String name, List<String> models, double qualityTarget) {
    /** Copies the models. */
    public CascadeRule {
        models = List.copyOf(models);
    }
}
