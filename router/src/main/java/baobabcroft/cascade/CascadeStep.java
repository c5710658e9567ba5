package baobabcroft.cascade;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.rules.VersionId;

/**
 * A version that a cascade may use for a request.
 *
 * @param version the version that was assigned for its model
 * @param priceMicrosPerThousandTokens its price
 * @param expectedQuality quality between 0 and 1 that operators expect before ratings are known
 * @param evidence ratings of this version on the request's kind
 */
public record CascadeStep(
        VersionId version, long priceMicrosPerThousandTokens, double expectedQuality, QualityEvidence evidence) {
    /** Checks the parts. */
    public CascadeStep {
        checkNotNull(version);
        checkNotNull(evidence);
    }
}
