package baobabcroft.cascade;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.rules.VersionId;

/**
 * A version that a cascade may use for a request.
 *
 * @param version the version assigned to the request for the model of this step
 * @param priceMicrosPerThousandTokens price of a thousand tokens, in micros
 * @param expectedQuality quality, from zero to one, that operators expect before there are ratings
 * @param evidence ratings of this version for the kind of the request
 */
public record CascadeStep(
        VersionId version, long priceMicrosPerThousandTokens, double expectedQuality, QualityEvidence evidence) {
    /** Validates the components. */
    public CascadeStep {
        checkNotNull(version);
        checkNotNull(evidence);
    }
}
