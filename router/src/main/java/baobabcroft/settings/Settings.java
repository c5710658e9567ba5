package baobabcroft.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * Settings of one instance. Immutable; the text form of no part shows a secret.
 *
 * @param instance who the instance is
 * @param listen where it listens
 * @param platform where the platform's services are
 * @param peers how it talks to the other instances
 * @param adminKeys keys of the operators
 * @param limits limits on requests
 * @param drain times of a planned stop
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
     * Loads settings from a JSON file and checks them against the schema.
     *
     * @param file the file
     * @return the settings, with defaults where the file says nothing
     * @throws SettingsException if the file cannot be read or has faults
     */
    public static Settings load(Path file) {
        return SettingsLoader.load(file);
    }

    /**
     * Who the instance is.
     *
     * @param name its name
     * @param failureDomain the failure domain it stands in
     * @param region the region that the failure domain lies in
     */
    public record Instance(String name, String failureDomain, String region) {}

    /**
     * Where the instance listens. Port 0 takes a free port.
     *
     * @param callers address for callers
     * @param admin address for operators, counters and probes
     * @param peers address for the other instances
     */
    public record Listen(HostAndPort callers, HostAndPort admin, HostAndPort peers) {}

    /**
     * Where the platform's services are.
     *
     * @param storeUrls URLs of the key-value service, tried in turn
     * @param liveListUrl URL of the list of live and leaving instances and endpoints
     * @param ratingUrl URL of the service that rates answers, if there is one
     * @param timeoutMillis longest wait for an answer, in milliseconds
     */
    public record Platform(List<URI> storeUrls, URI liveListUrl, Optional<URI> ratingUrl, long timeoutMillis) {
        /** Copies the URLs. */
        public Platform {
            storeUrls = ImmutableList.copyOf(storeUrls);
        }
    }

    /**
     * How the instance talks to the others.
     *
     * @param sharedKey key that all instances share
     */
    public record Peers(Secret sharedKey) {}

    /**
     * An operator's key.
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
     * @param maxBodyBytes longest body
     * @param maxHeaderBytes longest header
     * @param bodyReadTimeoutMillis longest time for sending a body, in milliseconds
     * @param maxConcurrentRequests requests that may be open at once
     */
    public record Limits(int maxBodyBytes, int maxHeaderBytes, long bodyReadTimeoutMillis, int maxConcurrentRequests) {}

    /**
     * Times of a planned stop.
     *
     * @param balancerNoticeMillis time between the readiness probe's first failure and the first refusal
     * @param drainTimeoutMillis longest wait for open requests
     */
    public record Drain(long balancerNoticeMillis, long drainTimeoutMillis) {}

    /**
     * Intervals and deadlines.
     *
     * @param authorityMillis how long the configuration counts as fresh
     * @param heartbeatMillis interval of heartbeats
     * @param liveListPollMillis interval of reads of the live list
     * @param defaultDeadlineMillis deadline of a request that names none
     */
    public record Timing(
            long authorityMillis, long heartbeatMillis, long liveListPollMillis, long defaultDeadlineMillis) {}
}
