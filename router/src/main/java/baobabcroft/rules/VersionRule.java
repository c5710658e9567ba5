package baobabcroft.rules;

/**
 * A version of a model: its roll-out state, its share of new sessions, its price and its expected quality.
 *
 * @param id the model and version names
 * @param state whether the version takes new sessions, only existing ones, or none
 * @param sharePercent share of the model's new sessions, in percent; the shares of a model's open versions add up
 *     to 100, and versions that are not open have 0
 * @param priceMicrosPerThousandTokens price of 1000 generated tokens, in millionths of the currency unit
 * @param expectedQuality mean quality from 0 to 1 that the operator expects; ratings outweigh it as they arrive
 * @param overruleAutomaticStop whether the operator has disabled the automatic stop for this version
 */
public record VersionRule(
        VersionId id,
        VersionState state,
        int sharePercent,
        long priceMicrosPerThousandTokens,
        double expectedQuality,
        boolean overruleAutomaticStop) {}
