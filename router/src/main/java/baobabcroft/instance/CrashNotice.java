package baobabcroft.instance;

import java.util.List;
import java.util.Map;

/**
 * Endpoints that an instance saw die under requests.
 *
 * @param endpointsByDigest the endpoints' incarnations by the digest of the request
 */
record CrashNotice(Map<String, List<String>> endpointsByDigest) {}
