package baobabcroft.instance;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import java.util.Optional;

/**
 * Settings of one instance.
 *
 * @param instance name of the instance
 * @param failureDomain failure domain of the instance
 * @param regions region of each failure domain
 * @param callers address that callers connect to
 * @param readiness address of the readiness probe
 * @param metrics address that serves the metrics
 * @param peers address that receives the datagrams of other instances
 * @param forwarding address that takes requests forwarded by other instances; empty if this instance takes none
 * @param linkMegabitsPerSecond rate of the network link; 0 if unknown
 * @param maxDescriptors open files and connections that the deployment allows the process; 0 if it states none
 * @param keepFromPercent lowest confidence, in percent, with which the answer of a smaller model is used
 * @param maxEndpointPauseMillis longest time for which an endpoint gets no requests because it said so, in milliseconds
 * @param bounds bounds that the contract of the deployment sets
 */
public record InstanceSettings(
        String instance,
        String failureDomain,
        ImmutableMap<String, String> regions,
        HostAndPort callers,
        HostAndPort readiness,
        HostAndPort metrics,
        HostAndPort peers,
        Optional<HostAndPort> forwarding,
        double linkMegabitsPerSecond,
        int maxDescriptors,
        int keepFromPercent,
        long maxEndpointPauseMillis,
        DeploymentBounds bounds) {
    /** Checks that no component is null. */
    public InstanceSettings {
        checkNotNull(instance);
        checkNotNull(failureDomain);
        checkNotNull(regions);
        checkNotNull(callers);
        checkNotNull(readiness);
        checkNotNull(metrics);
        checkNotNull(peers);
        checkNotNull(forwarding);
        checkArgument(
                linkMegabitsPerSecond >= 0,
                "linkMegabitsPerSecond negative or not a number: %s",
                linkMegabitsPerSecond);
        checkArgument(maxDescriptors >= 0, "negative maxDescriptors: %s", maxDescriptors);
        checkArgument(maxEndpointPauseMillis > 0, "maxEndpointPauseMillis not positive: %s", maxEndpointPauseMillis);
        checkNotNull(bounds);
    }

    /**
     * Returns a copy of these settings with the values of another file that can change while an instance runs.
     *
     * @param read settings of the changed file
     * @return a copy with the cascade, the longest pause and the bounds of the file, except {@code contactMillis} and
     *     {@code exposureShare}, on which grace periods and rollouts in progress depend
     */
    InstanceSettings withReloadableOf(InstanceSettings read) {
        DeploymentBounds changed = new DeploymentBounds(
                read.bounds.graceMillis(),
                bounds.contactMillis(),
                read.bounds.retryRatio(),
                read.bounds.retrySlack(),
                bounds.exposureShare(),
                read.bounds.warmUpExcess(),
                read.bounds.warmUpSlack());
        return new InstanceSettings(
                instance,
                failureDomain,
                regions,
                callers,
                readiness,
                metrics,
                peers,
                forwarding,
                linkMegabitsPerSecond,
                maxDescriptors,
                read.keepFromPercent,
                read.maxEndpointPauseMillis,
                changed);
    }
}
