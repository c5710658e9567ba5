package baobabcroft.instance;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;

/**
 * Settings of one entry instance.
 *
 * @param instance its name
 * @param failureDomain where it stands
 * @param regions the region of each failure domain
 * @param callers where callers connect
 * @param readiness where the balancer asks whether it is ready
 * @param metrics where the metrics are served
 * @param peers where the instance listens for datagrams of other instances
 * @param keepFromPercent least confidence with which an answer of a smaller model is kept
 * @param bounds the deployment's bounds
 */
public record EntrySettings(
        String instance,
        String failureDomain,
        ImmutableMap<String, String> regions,
        HostAndPort callers,
        HostAndPort readiness,
        HostAndPort metrics,
        HostAndPort peers,
        int keepFromPercent,
        EntryBounds bounds) {
    /** Checks the parts. */
    public EntrySettings {
        checkNotNull(instance);
        checkNotNull(failureDomain);
        checkNotNull(regions);
        checkNotNull(callers);
        checkNotNull(readiness);
        checkNotNull(metrics);
        checkNotNull(peers);
        checkNotNull(bounds);
    }

    /**
     * Returns these settings with those of another file that a running instance can take over.
     *
     * @param read the other settings
     * @return a copy with the other's cascade and bounds, but this one's exposure: roll-outs under way keep to it
     */
    EntrySettings withChangeable(EntrySettings read) {
        EntryBounds changed = new EntryBounds(
                read.bounds.graceMillis(), read.bounds.retryRatio(), read.bounds.retrySlack(), bounds.exposureShare());
        return new EntrySettings(
                instance, failureDomain, regions, callers, readiness, metrics, peers, read.keepFromPercent, changed);
    }
}
