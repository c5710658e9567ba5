package baobabcroft.log;

import static org.slf4j.event.Level.DEBUG;
import static org.slf4j.event.Level.ERROR;
import static org.slf4j.event.Level.INFO;
import static org.slf4j.event.Level.WARN;

import com.google.common.collect.ImmutableList;
import org.slf4j.event.Level;

/**
 * Catalogue of log events. A number is never used again for another event.
 *
 * <p>Thousands group the numbers: 1 the process, 2 configuration, 3 the platform's services, 4 other instances, 5
 * endpoints and versions, 6 claims and bills, 7 relayed requests.
 */
public enum LogEvent {
    /** The instance takes requests. */
    STARTED(1001, INFO, "instance started", "instance", "callers", "admin", "peers"),
    /** The instance has stopped. */
    STOPPED(1002, INFO, "instance stopped", "instance", "openRequests"),
    /** A planned stop has begun. */
    DRAIN_STARTED(1003, INFO, "drain started; readiness probe fails from now on", "openRequests"),
    /** The drain timeout passed with requests still open. */
    DRAIN_TIMED_OUT(1004, WARN, "drain timeout passed with requests still open", "openRequests"),
    /** The settings have faults. */
    SETTINGS_INVALID(1005, ERROR, "settings refused", "fault"),
    /** A fault of the router itself. */
    INTERNAL_FAULT(1006, ERROR, "unexpected fault", "component"),
    /** An operator gave a command that changes something. */
    OPERATOR_COMMAND(1007, INFO, "operator command", "operator", "command"),
    /** Lines of one event came so often that some were left out. */
    LINES_LEFT_OUT(1008, WARN, "log lines left out", "event", "lines"),
    /** The settings file has changed. */
    SETTINGS_CHANGED(1009, INFO, "settings changed", "setting", "value"),

    /** The instance applies a configuration. */
    CONFIG_APPLIED(2001, INFO, "configuration applied", "number", "changeId", "author", "source"),
    /** A change of configuration was refused. */
    CONFIG_REJECTED(2002, WARN, "change of configuration refused", "author", "reason"),
    /** A change of configuration is in force everywhere. */
    CONFIG_ACCEPTED(2003, INFO, "change of configuration accepted", "number", "author", "confirmedBy"),
    /** A change of configuration is stored but not yet confirmed by all. */
    CONFIG_UNCONFIRMED(2004, WARN, "change of configuration stored, not yet accepted", "number", "missing"),
    /** The stored configuration cannot be read. */
    CONFIG_UNREADABLE(2005, ERROR, "stored configuration cannot be parsed; not applied", "number", "fault"),
    /** The instance's authority to take new work ran out. */
    AUTHORITY_LOST(2006, WARN, "authority lost; new work refused", "number"),
    /** The instance has fresh authority again. */
    AUTHORITY_REGAINED(2007, INFO, "authority regained", "number", "lostMillis"),
    /** The stored configuration was deleted. */
    CONFIG_KEY_DELETED(2008, WARN, "stored configuration deleted; the applied one is kept", "key"),
    /** The watch on the configuration is down; reads go on. */
    CONFIG_WATCH_DISCONNECTED(2009, WARN, "watch of the configuration broken", "reason"),
    /** The key-value service shows an older configuration than it had. */
    CONFIG_LOST_BY_STORE(2010, WARN, "key-value service lost a configuration; written again", "number"),
    /** A difference from a peer does not fit what is applied. */
    CONFIG_DELTA_REJECTED(2011, WARN, "difference does not fit; whole configuration fetched", "peer"),

    /** The key-value service does not answer. */
    STORE_UNAVAILABLE(3001, WARN, "key-value service unavailable", "reason"),
    /** The key-value service answers again. */
    STORE_RECOVERED(3002, INFO, "key-value service answers again", "outageMillis"),
    /** A write of this instance's own key failed. */
    STORE_WRITE_FAILED(3005, WARN, "own key not written", "key", "reason"),
    /** A key that instances share cannot be read. */
    SHARED_KEY_UNREADABLE(3006, WARN, "shared key cannot be read; ignored", "key", "fault"),
    /** The list of live instances and endpoints cannot be read. */
    LIVE_LIST_UNAVAILABLE(3003, WARN, "live list unavailable; last one kept", "reason"),
    /** The service that rates answers does not answer. */
    RATING_UNAVAILABLE(3004, WARN, "rating service unavailable", "reason"),

    /** A connection to another instance is up. */
    PEER_REACHABLE(4001, INFO, "peer answers", "peer"),
    /** A connection to another instance is lost. */
    PEER_UNREACHABLE(4002, WARN, "peer answers no more", "peer"),
    /** A connection of another instance was refused or closed. */
    PEER_REJECTED(4003, WARN, "peer refused", "peer", "reason"),
    /** A connection to or from another instance failed. */
    PEER_CONNECTION_FAILED(4004, DEBUG, "peer connection failed", "peer"),
    /** A request of another instance could not be carried out. */
    PEER_HANDLER_FAILED(4005, WARN, "request of a peer failed", "kind"),

    /** An endpoint gets no requests for a while. */
    ENDPOINT_EJECTED(5001, WARN, "endpoint out of service", "endpoint", "state"),
    /** An endpoint gets requests again. */
    ENDPOINT_RECOVERED(5002, INFO, "endpoint back in service", "endpoint"),
    /** An entry of the endpoint list cannot be read. */
    ENDPOINT_UNREADABLE(5010, WARN, "endpoint entry unreadable; it names no endpoint", "endpoint", "fault"),
    /** The platform lists an endpoint, or its entry has changed. */
    ENDPOINT_LISTED(5013, INFO, "endpoint listed", "endpoint", "address", "failureDomain", "version", "leaving"),
    /** The platform no longer lists an endpoint. */
    ENDPOINT_UNLISTED(5014, INFO, "endpoint no longer listed", "endpoint", "storeUndisturbedMillis"),
    /** An endpoint died while it held requests that had no output yet. */
    ENDPOINT_CRASHED(5012, WARN, "endpoint crashed under requests", "endpoint", "digests"),
    /** A version gets no new sessions because its figures turned bad. */
    VERSION_STOPPED(5003, ERROR, "version stopped automatically", "version", "reason", "requests"),
    /** A roll-out has come to another stage. */
    ROLLOUT_STAGE(5011, INFO, "roll-out stage", "service", "target", "stage", "elapsedMillis"),
    /** A request that made several endpoints fail is not tried again. */
    POISON_REQUEST_STOPPED(5004, ERROR, "poison request stopped", "digest", "endpoint"),

    /** A bill is held in memory until the key-value service is back. */
    BILLS_BUFFERED(6001, WARN, "bills wait in memory for the key-value service", "bills"),
    /** Held bills are stored. */
    BUFFERED_BILLS_WRITTEN(6002, INFO, "all waiting bills written", "heldMillis"),
    /** The reply to the write of a slot was lost; the write is repeated on the same revision. */
    SLOT_WRITE_RESPONSE_LOST(6003, WARN, "reply to the write of a slot was lost", "slot", "next"),
    /** A stored record cannot be read. */
    RECORD_UNREADABLE(6004, ERROR, "stored record cannot be read", "key"),
    /** A commit failed for an unexpected reason and is tried again. */
    COMMIT_FAILED(6005, ERROR, "commit failed; tried again", "key"),
    /** A journal segment was written by another instance. */
    JOURNAL_SEGMENT_CONFLICT(6006, ERROR, "journal segment written by another; going on in a new one", "key"),
    /** The watch on a slot is down; it is opened again. */
    SLOT_WATCH_DISCONNECTED(6007, DEBUG, "watch of a slot broken", "slot", "reason"),

    /** A request was sent to an endpoint. */
    REQUEST_SENT(
            7001,
            INFO,
            "request sent",
            "request",
            "endpoint",
            "version",
            "model",
            "attempt",
            "expectedMillis",
            "waitMillis",
            "resumeAfter",
            "listAgeMillis",
            "loadAgeMillis",
            "agoMillis"),
    /** A send of a request brought no answer for its caller. */
    SEND_FAILED(7002, INFO, "send without answer", "request", "endpoint", "reason", "agoMillis"),
    /** A request has its final answer. */
    REQUEST_FINISHED(
            7003,
            INFO,
            "request finished",
            "request",
            "route",
            "account",
            "outcome",
            "stopped",
            "status",
            "execution",
            "sends",
            "elapsedMillis",
            "configVersion");

    private final int number;
    private final Level level;
    private final String message;
    private final ImmutableList<String> keys;

    LogEvent(int number, Level level, String message, String... keys) {
        this.number = number;
        this.level = level;
        this.message = message;
        this.keys = ImmutableList.copyOf(keys);
    }

    /**
     * Returns the number that stands for the event in logs and in the catalogue.
     *
     * @return a number of four digits
     */
    public int number() {
        return number;
    }

    /**
     * Returns the number as logs show it.
     *
     * @return for example {@code BC1001}
     */
    public String code() {
        return "BC" + number;
    }

    /**
     * Returns the level that the event is logged at.
     *
     * @return the level
     */
    public Level level() {
        return level;
    }

    /**
     * Returns the fixed part of the message.
     *
     * @return the message without its values
     */
    public String message() {
        return message;
    }

    /**
     * Returns the keys of the values that follow the message.
     *
     * @return the keys in the order of the values
     */
    public ImmutableList<String> keys() {
        return keys;
    }
}
