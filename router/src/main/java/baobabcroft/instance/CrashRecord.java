package baobabcroft.instance;

import java.util.List;
import java.util.Map;

/**
 * Endpoint crashes that one instance has observed, as published in the store.
 *
 * @param endpointsByDigest incarnations of the crashed endpoints, by digest of the request that each of them held
 */
record CrashRecord(Map<String, List<String>> endpointsByDigest) {}
