package baobabcroft.rules;

import java.util.List;

/**
 * A cascade: a name that callers use like a model's and that denotes several models, ordered from the cheapest to the
 * most expensive. Immutable.
 *
 * @param name the cascade's name, different from all models' names
 * @param models names of the models, in ascending order of cost
 * @param qualityTarget mean quality from 0 to 1 that the answers must reach
 */
public record CascadeRule(String name, List<String> models, double qualityTarget) {
    /** Makes an immutable copy of the models. */
    public CascadeRule {
        models = List.copyOf(models);
    }
}
