package baobabcroft.instance;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSetMultimap;

/**
 * Endpoint crashes that one instance has observed, as published in the store. Endpoints are named by incarnation.
 *
 * @param endpointsByDigest crashed endpoints, by digest of the request that each of them held
 * @param endpointsByPart crashed endpoints, by id of a prompt part of a request that each of them was about to answer
 * @param clearedByPart crashed endpoints of whose crash a prompt part was cleared by an answer, by id of the part
 */
record CrashRecord(
        ImmutableSetMultimap<String, String> endpointsByDigest,
        ImmutableSetMultimap<String, String> endpointsByPart,
        ImmutableSetMultimap<String, String> clearedByPart) {
    CrashRecord {
        checkNotNull(endpointsByDigest);
        checkNotNull(endpointsByPart);
        checkNotNull(clearedByPart);
    }
}
