package baobabcroft.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * Settings of one instance. Immutable; {@code toString} of the settings and of their components shows no secret.
 *
 * @param instance name and location of the instance
 * @param listen listen addresses
 * @param platform addresses of the platform's services
 * @param peers connections to the other instances
 * @param adminKeys keys of the operators
 * @param limits limits on requests
 * @param drain timeouts of a planned stop
 * @param timing intervals and deadlines
 */
public record Settings(
        Instance instance,
        Listen listen,
        Platform platform,
        Peers peers,
        List<AdminKey> adminKeys,
        Limits limits,
        Drain drain,
        Timing timing) {
    /** Copies the keys. */
    public Settings {
        adminKeys = ImmutableList.copyOf(adminKeys);
    }

    /**
     * Returns the settings in a JSON file, checked against the schema.
     *
     * @param file path of the settings file
     * @return the settings, with defaults for keys that the file omits
     * @throws SettingsException if the file cannot be read or is invalid
     */
    public static Settings load(Path file) {
        return SettingsLoader.load(file);
    }

    /**
     * Name and location of the instance.
     *
     * @param name name of the instance
     * @param failureDomain failure domain that the instance runs in
     * @param region region that contains the failure domain
     */
    public record Instance(String name, String failureDomain, String region) {}

    /**
     * Listen addresses of the instance. Port 0 selects a free port.
     *
     * @param callers address for client requests
     * @param admin address for operator commands, metrics and probes
     * @param peers address for connections from the other instances
     */
    public record Listen(HostAndPort callers, HostAndPort admin, HostAndPort peers) {}

    /**
     * Addresses of the platform's services.
     *
     * @param storeUrls URLs of the key-value service, tried in turn
     * @param liveListUrl URL of the list of live and leaving instances and endpoints
     * @param ratingUrl URL of the rating service; empty if there is none
     * @param timeoutMillis timeout of a call to a platform service, in milliseconds
     */
    public record Platform(List<URI> storeUrls, URI liveListUrl, Optional<URI> ratingUrl, long timeoutMillis) {
        /** Copies the URLs. */
        public Platform {
            storeUrls = ImmutableList.copyOf(storeUrls);
        }
    }

    /**
     * Connections to the other instances.
     *
     * @param sharedKey key that all instances share, for mutual authentication
     */
    public record Peers(Secret sharedKey) {}

    /**
     * An operator's credentials.
     *
     * @param name the operator's name
     * @param sha256 SHA-256 of the bearer key, in lower-case hexadecimal
     */
    public record AdminKey(String name, String sha256) {
        @Override
        public String toString() {
            return "AdminKey[name=" + name + "]";
        }
    }

    /**
     * Limits on requests.
     *
     * @param maxBodyBytes maximum size of a request body, in bytes
     * @param maxHeaderBytes maximum size of a request header, in bytes
     * @param bodyReadTimeoutMillis maximum time for receiving a request body, in milliseconds
     * @param maxConcurrentRequests maximum number of open requests
     * @param maxEndpointPauseMillis longest time for which an endpoint may ask for no requests, in milliseconds
     */
    public record Limits(
            int maxBodyBytes,
            int maxHeaderBytes,
            long bodyReadTimeoutMillis,
            int maxConcurrentRequests,
            long maxEndpointPauseMillis) {}

    /**
     * Timeouts of a planned stop.
     *
     * @param balancerNoticeMillis time from the first failure of the readiness probe to the first rejected request, so
     *     that the load balancer can react, in milliseconds
     * @param drainTimeoutMillis maximum wait for open requests, in milliseconds
     */
    public record Drain(long balancerNoticeMillis, long drainTimeoutMillis) {}

    /**
     * Intervals and deadlines.
     *
     * @param authorityMillis how long a confirmed configuration counts as fresh, in milliseconds
     * @param heartbeatMillis interval between heartbeats, in milliseconds
     * @param liveListPollMillis interval between polls of the live list, in milliseconds
     * @param defaultDeadlineMillis deadline of a request that specifies none, in milliseconds
     */
    public record Timing(
            long authorityMillis, long heartbeatMillis, long liveListPollMillis, long defaultDeadlineMillis) {}
}
