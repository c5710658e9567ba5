package baobabcroft.load;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Key of an endpoint in load notices between instances: a 32-bit hash of its id. The load of endpoints whose hashes
 * collide is added up; the only effect is a worse load-balancing choice.
 *
 * @param hash the hash of the endpoint id
 */
public record EndpointKey(int hash) {
    /**
     * Returns the key of an endpoint.
     *
     * @param endpointId id of the endpoint
     * @return the key
     */
    public static EndpointKey of(String endpointId) {
        return new EndpointKey(Hashing.murmur3_32_fixed()
                .hashString(endpointId, StandardCharsets.UTF_8)
                .asInt());
    }
}
