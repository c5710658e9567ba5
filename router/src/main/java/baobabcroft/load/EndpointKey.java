package baobabcroft.load;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Names an endpoint in notices of load by a hash of its identity. Two endpoints with one hash seem busier than they
 * are, which costs a worse choice and nothing else.
 *
 * @param hash the hash
 */
public record EndpointKey(int hash) {
    /**
     * Returns the key of an endpoint.
     *
     * @param endpointId its identity
     * @return the key
     */
    public static EndpointKey of(String endpointId) {
        return new EndpointKey(Hashing.murmur3_32_fixed()
                .hashString(endpointId, StandardCharsets.UTF_8)
                .asInt());
    }
}
