package baobabcroft.rules;

/**
 * A version of a model: state, share and price.
 *
 * @param id the version
 * @param state its state in the roll-out
 * @param sharePercent share of the model's new sessions, in percent; the open versions of a model add up to 100
 * @param priceMicrosPerThousandTokens price of a thousand generated tokens, in millionths of the currency unit
 * @param expectedQuality quality between 0 and 1 that operators expect before ratings are known
 * @param overruleAutomaticStop whether the operator has overruled the automatic stop of this version
 */
public record VersionRule(
        VersionId id,
        VersionState state,
        int sharePercent,
        long priceMicrosPerThousandTokens,
        double expectedQuality,
        boolean overruleAutomaticStop) {}
