package baobabcroft.directory;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.HostAndPort;

/**
 * What an endpoint says of itself.
 *
 * @param id its identity; an endpoint that starts again may keep it
 * @param service the service that it runs
 * @param address where it takes requests
 * @param failureDomain where it stands
 * @param version version of its software
 * @param slots requests that it processes at once
 * @param leaving whether it takes no new requests
 * @param startedAtEpochMillis its start, which tells two incarnations of one id apart; 0 if it does not say
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
    /** Checks the parts. */
    public EndpointEntry {
        checkArgument(!id.isEmpty(), "empty id");
        checkArgument(!service.isEmpty(), "empty service");
        checkArgument(address.hasPort(), "address without a port: %s", address);
        checkNotNull(failureDomain);
        checkNotNull(version);
        checkArgument(slots > 0, "slots not positive: %s", slots);
    }

    /**
     * Returns whether another entry describes the same process.
     *
     * @param other an entry of the same id
     * @return false if the endpoint has started again in between
     */
    public boolean isSameIncarnation(EndpointEntry other) {
        return startedAtEpochMillis == other.startedAtEpochMillis && address.equals(other.address);
    }
}
