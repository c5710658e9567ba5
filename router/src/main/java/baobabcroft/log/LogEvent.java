package baobabcroft.log;

import static org.slf4j.event.Level.DEBUG;
import static org.slf4j.event.Level.ERROR;
import static org.slf4j.event.Level.INFO;
import static org.slf4j.event.Level.WARN;

import com.google.common.collect.ImmutableList;
import org.slf4j.event.Level;

/**
 * Catalogue of log events. The number of a removed event is not reused.
 *
 * <p>The thousands digit is the subject: 1 process, 2 configuration, 3 platform services, 4 other instances, 5
 * endpoints and versions, 6 claims and bills, 7 forwarded requests.
 */
public enum LogEvent {
    /** The instance accepts requests. */
    STARTED(1001, INFO, "instance started", "instance", "callers", "admin", "peers"),
    /** The instance has stopped. */
    STOPPED(1002, INFO, "instance stopped", "instance", "openRequests"),
    /** A planned stop has begun. */
    DRAIN_STARTED(1003, INFO, "drain started; readiness probe fails from now on", "openRequests"),
    /** The drain timeout expired with requests still open. */
    DRAIN_TIMED_OUT(1004, WARN, "drain timeout expired with requests still open", "openRequests"),
    /** The settings are invalid or cannot be read. */
    SETTINGS_INVALID(1005, ERROR, "settings rejected", "fault"),
    /** An internal error of the router. */
    INTERNAL_FAULT(1006, ERROR, "internal error", "component"),
    /** An operator issued a command that changes the state. */
    OPERATOR_COMMAND(1007, INFO, "operator command", "operator", "command"),
    /** Log lines of one event exceeded the rate limit and were suppressed. */
    LINES_SUPPRESSED(1008, WARN, "log lines suppressed", "event", "lines"),
    /** The settings file has changed. */
    SETTINGS_CHANGED(1009, INFO, "settings changed", "setting", "value"),
    /** The instance cannot start; the process exits. */
    START_FAILED(1010, ERROR, "start failed", "reason"),
    /** A planned stop cannot be completed; the process exits. */
    STOP_ABANDONED(1011, ERROR, "stop abandoned", "reason"),

    /** The instance applies a configuration. */
    CONFIG_APPLIED(2001, INFO, "configuration applied", "number", "changeId", "author", "source"),
    /** A configuration change was rejected. */
    CONFIG_REJECTED(2002, WARN, "configuration change rejected", "author", "reason"),
    /** A configuration change is in force on all instances. */
    CONFIG_ACCEPTED(2003, INFO, "configuration change accepted", "number", "author", "confirmedBy"),
    /** A configuration change is stored but not yet confirmed by all instances. */
    CONFIG_UNCONFIRMED(2004, WARN, "configuration change stored, not yet accepted", "number", "missing"),
    /** The stored configuration cannot be parsed. */
    CONFIG_UNREADABLE(2005, ERROR, "stored configuration cannot be parsed; not applied", "number", "fault"),
    /** The instance's authority to accept new requests expired. */
    AUTHORITY_LOST(2006, WARN, "authority lost; new requests rejected", "number"),
    /** The instance has fresh authority again. */
    AUTHORITY_REGAINED(2007, INFO, "authority regained", "number", "lostMillis"),
    /** The stored configuration was deleted. */
    CONFIG_KEY_DELETED(2008, WARN, "stored configuration deleted; applied configuration kept", "key"),
    /** The watch on the configuration is disconnected; polling continues. */
    CONFIG_WATCH_DISCONNECTED(2009, WARN, "configuration watch disconnected", "reason"),
    /** The key-value service returned an older configuration than before. */
    CONFIG_LOST_BY_STORE(2010, WARN, "key-value service lost a configuration; writing it again", "number"),
    /** A configuration delta from a peer does not apply to a recent configuration. */
    CONFIG_DELTA_REJECTED(2011, WARN, "configuration delta does not apply; fetching the full configuration", "peer"),
    /** Operators have ordered the evacuation of a failure domain, or have ended it. */
    EVACUATION_CHANGED(2012, INFO, "evacuation of a failure domain", "failureDomain", "change"),
    /** An operator's order names a failure domain that does not exist. */
    EVACUATION_UNKNOWN(2013, WARN, "evacuation of an unknown failure domain; ignored", "failureDomain"),

    /** The key-value service is unavailable. */
    STORE_UNAVAILABLE(3001, WARN, "key-value service unavailable", "reason"),
    /** The key-value service is available again. */
    STORE_RECOVERED(3002, INFO, "key-value service available again", "outageMillis"),
    /** A write to a key that only this instance writes failed. */
    STORE_WRITE_FAILED(3005, WARN, "write to own key failed", "key", "reason"),
    /** A key shared by the instances cannot be parsed. */
    SHARED_KEY_UNREADABLE(3006, WARN, "shared key cannot be parsed; ignored", "key", "fault"),
    /** The store has returned from a copy; what it lost is written again. */
    STORE_ERA_STARTED(3007, WARN, "store returned from a copy; known state kept", "era"),
    /** The instance follows another one instead of polling the store. */
    REPLICA_SOURCE(3008, INFO, "store contents followed by way of another instance", "instance", "position"),
    /** The followed instance was lost or is out of date. */
    REPLICA_SOURCE_LOST(3009, INFO, "followed instance lost", "instance", "reason"),
    /** The live list cannot be fetched or is invalid. */
    LIVE_LIST_UNAVAILABLE(3003, WARN, "live list unavailable; previous list kept", "reason"),
    /** The rating service is unavailable. */
    RATING_UNAVAILABLE(3004, WARN, "rating service unavailable", "reason"),

    /** Another instance became reachable. */
    PEER_REACHABLE(4001, INFO, "peer reachable", "peer"),
    /** Another instance became unreachable. */
    PEER_UNREACHABLE(4002, WARN, "peer unreachable", "peer"),
    /** A connection from another instance was rejected or closed. */
    PEER_REJECTED(4003, WARN, "peer rejected", "peer", "reason"),
    /** A connection to or from another instance failed. */
    PEER_CONNECTION_FAILED(4004, DEBUG, "peer connection failed", "peer"),
    /** A request from another instance could not be processed. */
    PEER_HANDLER_FAILED(4005, WARN, "peer request failed", "kind"),

    /** The datagrams of other instances could not be read; later ones make up for them. */
    NOTICES_UNREADABLE(4006, WARN, "notices of other instances cannot be read"),

    /** An endpoint temporarily receives no requests. */
    ENDPOINT_EJECTED(5001, WARN, "endpoint out of service", "endpoint", "state"),
    /** An endpoint receives requests again. */
    ENDPOINT_RECOVERED(5002, INFO, "endpoint back in service", "endpoint"),
    /** An entry of the endpoint list cannot be parsed. */
    ENDPOINT_UNREADABLE(5010, WARN, "endpoint entry cannot be parsed; treated as no endpoint", "endpoint", "fault"),
    /** The platform lists an endpoint, or its entry has changed. */
    ENDPOINT_LISTED(5013, INFO, "endpoint listed", "endpoint", "address", "failureDomain", "version", "leaving"),
    /** The platform no longer lists an endpoint. */
    ENDPOINT_UNLISTED(5014, INFO, "endpoint no longer listed", "endpoint", "storeUndisturbedMillis"),
    /** The store's copy lists an endpoint as it was before a later report or its removal. */
    ENDPOINT_OUTDATED(5015, INFO, "endpoint entry of the store's copy is out of date; ignored", "endpoint", "report"),
    /** An endpoint crashed while it processed requests. */
    ENDPOINT_CRASHED(5012, WARN, "endpoint crashed with requests in flight", "endpoint", "digests", "parts"),
    /** A version receives no new sessions because its error rate, latency or ratings became too bad. */
    VERSION_STOPPED(5003, ERROR, "version stopped automatically", "version", "reason", "requests"),
    /** A roll-out entered another stage. */
    ROLLOUT_STAGE(
            5011,
            INFO,
            "roll-out stage",
            "service",
            "target",
            "stage",
            "elapsedMillis",
            "targetAnswers",
            "baseAnswers"),
    /** An endpoint has stated in an answer that it is shutting down; it receives no new requests of this instance. */
    ENDPOINT_LEAVING(5018, INFO, "endpoint states that it is shutting down", "endpoint", "startedAtEpochMillis"),
    /** An endpoint has rejected a request and wants none for some time. */
    ENDPOINT_PAUSED(5019, INFO, "endpoint wants no requests for some time", "endpoint", "pauseMillis", "capped"),
    /** An endpoint has stated for how long it wants no requests, but not as a number of seconds. */
    ENDPOINT_PAUSE_UNREADABLE(5020, WARN, "pause stated by endpoint cannot be parsed; ignored", "endpoint", "value"),
    /** An endpoint has stated how many requests a second it takes from all instances together. */
    ENDPOINT_LIMITED(5021, INFO, "endpoint states a limit on its requests", "endpoint", "limitPerSecond"),
    /** An endpoint has answered without the limit that it stated before. */
    ENDPOINT_LIMIT_ENDED(5022, INFO, "endpoint states no limit any more", "endpoint"),
    /** An endpoint has stated a limit on its requests, but not as a number. */
    ENDPOINT_LIMIT_UNREADABLE(5023, WARN, "limit stated by endpoint cannot be parsed; ignored", "endpoint", "value"),
    /** An endpoint has stated that it falls over if it has to reject more requests than that in a second. */
    ENDPOINT_BRITTLE(5026, INFO, "endpoint states that rejections make it fall over", "endpoint", "toleratedPerSecond"),
    /** An endpoint has answered without stating that it falls over. */
    ENDPOINT_BRITTLE_ENDED(5027, INFO, "endpoint no longer states that rejections make it fall over", "endpoint"),
    /** An endpoint has sent bytes that are not the awaited response. */
    ENDPOINT_SENT_UNEXPECTED_BYTES(
            5028,
            INFO,
            "endpoint sent bytes that are not the awaited response",
            "connection",
            "kind",
            "request",
            "requestsOnConnection",
            "detail"),
    /** An endpoint that has started or recovered gets requests at a limited pace. */
    ENDPOINT_PACE_STARTED(
            5029,
            INFO,
            "endpoint gets requests at a limited pace",
            "endpoint",
            "startedAtEpochMillis",
            "reason",
            "perSecond",
            "holders",
            "holdsShare"),
    /** An endpoint gets requests without a limited pace again. */
    ENDPOINT_PACE_ENDED(
            5030,
            INFO,
            "endpoint gets requests without a limited pace again",
            "endpoint",
            "reason",
            "pacedMillis",
            "sent"),
    /** No endpoint accepts connections of this instance; they may accept those of others. */
    ENDPOINTS_UNREACHABLE(5024, WARN, "no endpoint can be reached from this instance", "triedEndpoints", "peers"),
    /** An endpoint has accepted a connection of this instance again. */
    ENDPOINTS_REACHABLE(5025, INFO, "endpoints can be reached from this instance again", "unreachableMillis"),
    /** Several endpoints crashed when they were about to answer requests with a prompt part. */
    PROMPT_PART_STOPPED(
            5016, ERROR, "prompt part crashes endpoints; requests with it are refused", "part", "endpoints"),
    /** A request with a prompt part that was refused was answered after all. */
    PROMPT_PART_CLEARED(5017, INFO, "prompt part cleared; requests with it are sent again", "part"),
    /** A request that made several endpoints fail is not retried. */
    POISON_REQUEST_STOPPED(5004, ERROR, "poison request stopped", "digest", "endpoint"),

    /** Bills are buffered in memory until the key-value service is available again. */
    BILLS_BUFFERED(6001, WARN, "bills buffered in memory; key-value service unavailable", "bills"),
    /** All buffered bills are stored. */
    BUFFERED_BILLS_WRITTEN(6002, INFO, "all buffered bills written", "heldMillis"),
    /** The response to a slot write was lost; the write is retried at the same revision. */
    SLOT_WRITE_RESPONSE_LOST(6003, WARN, "response to a slot write lost", "slot", "next"),
    /** A stored record cannot be parsed. */
    RECORD_UNREADABLE(6004, ERROR, "stored record cannot be parsed", "key"),
    /** A commit failed for an unexpected reason and is retried. */
    COMMIT_FAILED(6005, ERROR, "commit failed; retrying", "key"),
    /** A journal segment was written by another instance. */
    JOURNAL_SEGMENT_CONFLICT(
            6006, ERROR, "journal segment written by another instance; continuing in a new segment", "key"),
    /** The watch on a slot is disconnected; it reconnects. */
    SLOT_WATCH_DISCONNECTED(6007, DEBUG, "slot watch disconnected", "slot", "reason"),

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
    /** An attempt to send a request produced no response for the caller. */
    SEND_FAILED(7002, INFO, "send failed", "request", "endpoint", "reason", "agoMillis"),
    /** A request waits, as all endpoints that it could be sent to want no requests for some time. */
    REQUEST_WAITING(7004, INFO, "request waits for the end of a pause", "request", "waitMillis", "agoMillis"),
    /** A request found no endpoint; why the service's endpoints are excluded, with their number for each reason. */
    NO_ENDPOINT(7005, INFO, "no endpoint for the request", "request", "reasons", "agoMillis"),
    /** Requests of a client account are refused, as its share of a service whose endpoints are full is used up. */
    ACCOUNT_REFUSED(
            7006,
            INFO,
            "requests refused above the account's share",
            "account",
            "service",
            "refusals",
            "percentOfShare",
            "percentOccupied"),
    /** A request received its final response. */
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
     * Returns the unique number of the event.
     *
     * @return a four-digit number
     */
    public int number() {
        return number;
    }

    /**
     * Returns the code of the event in log lines.
     *
     * @return the code, such as {@code BC1001}
     */
    public String code() {
        return "BC" + number;
    }

    /**
     * Returns the level at which the event is logged.
     *
     * @return the log level
     */
    public Level level() {
        return level;
    }

    /**
     * Returns the fixed part of the message.
     *
     * @return the message, without the values
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
