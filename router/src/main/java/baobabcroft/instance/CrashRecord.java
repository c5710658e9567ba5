package baobabcroft.instance;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSetMultimap;

/**
 * Endpoint crashes that one instance has observed, as published in the store. Endpoints are named by incarnation.
 *
 * @param endpointsByDigest crashed endpoints, by digest of the request that each of them held
 * @param clearedByDigest crashed endpoints of whose crash a request was cleared by an answer, by digest of the request
 * @param confirmedByDigest endpoints that crashed in a trial of a suspected request, by digest of the request
 * @param endpointsByPart crashed endpoints, by id of a prompt part of a request that each of them held
 * @param clearedByPart crashed endpoints of whose crash a prompt part was cleared by an answer, by id of the part
 */
record CrashRecord(
        ImmutableSetMultimap<String, String> endpointsByDigest,
        ImmutableSetMultimap<String, String> clearedByDigest,
        ImmutableSetMultimap<String, String> confirmedByDigest,
        ImmutableSetMultimap<String, String> endpointsByPart,
        ImmutableSetMultimap<String, String> clearedByPart) {
    CrashRecord {
        checkNotNull(endpointsByDigest);
        checkNotNull(clearedByDigest);
        checkNotNull(confirmedByDigest);
        checkNotNull(endpointsByPart);
        checkNotNull(clearedByPart);
    }
}
