package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.routing.Route;
import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.IntSupplier;

/**
 * Starts with the smallest model and escalates to the largest one if the confidence in the answer is below a threshold.
 *
 * <p>The confidence is part of the answer's headers. It is known before the caller has received anything, so that
 * escalation costs the caller little time.
 */
public final class ConfidenceCascade implements ModelChooser {
    private final IntSupplier keepFromPercent;

    private ConfidenceCascade(IntSupplier keepFromPercent) {
        this.keepFromPercent = keepFromPercent;
    }

    /**
     * Returns a cascade with a fixed threshold.
     *
     * @param keepFromPercent minimum confidence at which the answer of a smaller model is kept, from 0 (always kept) to
     *     101 (never kept if it states a confidence)
     * @return the cascade
     */
    public static ConfidenceCascade of(int keepFromPercent) {
        checkArgument(keepFromPercent >= 0 && keepFromPercent <= 101, "keepFromPercent: %s", keepFromPercent);
        return new ConfidenceCascade(() -> keepFromPercent);
    }

    /**
     * Returns a cascade whose threshold may change at run time.
     *
     * @param keepFromPercent supplies the minimum confidence at which the answer of a smaller model is kept; read for
     *     each answer
     * @return the cascade
     */
    public static ConfidenceCascade withDynamicThreshold(IntSupplier keepFromPercent) {
        return new ConfidenceCascade(checkNotNull(keepFromPercent));
    }

    @Override
    public Optional<String> initialModel(Route route, Prompt prompt) {
        return route.models().stream().findFirst();
    }

    @Override
    public Optional<String> escalationModel(Route route, Prompt prompt, String model, OptionalInt confidencePercent) {
        ImmutableList<String> models = route.models();
        boolean largest = models.isEmpty() || models.get(models.size() - 1).equals(model);
        if (largest || confidencePercent.isEmpty() || confidencePercent.getAsInt() >= keepFromPercent.getAsInt()) {
            return Optional.empty();
        }
        return Optional.of(models.get(models.size() - 1));
    }
}
