package baobabcroft.directory;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.Hashing;
import com.google.common.net.HostAndPort;
import java.nio.charset.StandardCharsets;

/**
 * Registration of an endpoint, as published by the endpoint itself.
 *
 * @param id id of the endpoint; may stay the same after a restart
 * @param service name of the service that the endpoint runs
 * @param address host and port on which the endpoint accepts requests
 * @param failureDomain name of the failure domain of the endpoint
 * @param version version of the software that the endpoint runs
 * @param slots requests that the endpoint processes concurrently; at least one
 * @param leaving whether the endpoint is shutting down and takes no new requests
 * @param startedAtEpochMillis start time of the process, which distinguishes incarnations of one id; 0 if unknown
 */
public record EndpointEntry(
        String id,
        String service,
        HostAndPort address,
        String failureDomain,
        String version,
        int slots,
        boolean leaving,
        long startedAtEpochMillis) {
    /** Validates the components. */
    public EndpointEntry {
        checkArgument(!id.isEmpty(), "empty id");
        checkArgument(!service.isEmpty(), "empty service");
        checkArgument(address.hasPort(), "address without a port: %s", address);
        checkNotNull(failureDomain);
        checkNotNull(version);
        checkArgument(slots > 0, "slots not positive: %s", slots);
    }

    /**
     * Returns a text that names this start of the endpoint and no other.
     *
     * @return the id, the address and the start time
     */
    public String incarnation() {
        return id + '@' + address + '#' + startedAtEpochMillis;
    }

    /**
     * Returns a short name of this start of the endpoint for messages between instances.
     *
     * @return a hash of {@link #incarnation}
     */
    public long incarnationHash() {
        return Hashing.murmur3_128()
                .hashString(incarnation(), StandardCharsets.UTF_8)
                .asLong();
    }

    /**
     * Returns whether another entry describes the same process.
     *
     * @param other an entry of the same id
     * @return false if the endpoint restarted between the two entries
     */
    public boolean isSameIncarnation(EndpointEntry other) {
        return startedAtEpochMillis == other.startedAtEpochMillis && address.equals(other.address);
    }
}
