package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.routing.Route;
import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.IntSupplier;

/**
 * Asks the smallest model first and the largest one instead where the first doubts its answer.
 *
 * <p>The doubt is known with the head of the answer, before the caller has received anything, so that the larger model
 * costs the caller little time.
 */
public final class ConfidenceCascade implements ModelChooser {
    private final IntSupplier keepFromPercent;

    private ConfidenceCascade(IntSupplier keepFromPercent) {
        this.keepFromPercent = keepFromPercent;
    }

    /**
     * Returns a cascade.
     *
     * @param keepFromPercent least confidence with which an answer of a smaller model is kept
     * @return the cascade
     */
    public static ConfidenceCascade of(int keepFromPercent) {
        checkArgument(keepFromPercent >= 0 && keepFromPercent <= 101, "keepFromPercent: %s", keepFromPercent);
        return new ConfidenceCascade(() -> keepFromPercent);
    }

    /**
     * Returns a cascade whose threshold may change.
     *
     * @param keepFromPercent least confidence with which an answer of a smaller model is kept, at present
     * @return the cascade
     */
    public static ConfidenceCascade withDynamicThreshold(IntSupplier keepFromPercent) {
        return new ConfidenceCascade(checkNotNull(keepFromPercent));
    }

    @Override
    public Optional<String> first(Route route, Prompt prompt) {
        return route.models().stream().findFirst();
    }

    @Override
    public Optional<String> instead(Route route, Prompt prompt, String model, OptionalInt confidencePercent) {
        ImmutableList<String> models = route.models();
        boolean largest = models.isEmpty() || models.get(models.size() - 1).equals(model);
        if (largest || confidencePercent.isEmpty() || confidencePercent.getAsInt() >= keepFromPercent.getAsInt()) {
            return Optional.empty();
        }
        return Optional.of(models.get(models.size() - 1));
    }
}
