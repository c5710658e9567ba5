package baobabcroft.common;

/** Stable codes of all rejections and failures, with the HTTP status sent to callers. */
public enum ErrorCode {
    /** The request body or a header could not be read. */
    BAD_REQUEST("bad_request", 400),
    /** The request body is not valid JSON, or lacks a required member. */
    MALFORMED_BODY("malformed_body", 400),
    /** The deadline header was negative, in the past or not a number. */
    BAD_DEADLINE("bad_deadline", 400),
    /** A request for a non-idempotent operation had no idempotency key. */
    IDEMPOTENCY_KEY_REQUIRED("idempotency_key_required", 400),
    /** The bearer key belongs to no client account. */
    UNKNOWN_ACCOUNT("unknown_account", 401),
    /** The bearer key belongs to no operator. */
    UNKNOWN_OPERATOR("unknown_operator", 401),
    /** The client account may not use the model, version, service or operation. */
    NOT_ALLOWED("not_allowed", 403),
    /** No model, cascade or version has this name. */
    UNKNOWN_MODEL("unknown_model", 404),
    /** No service or operation has this name. */
    UNKNOWN_OPERATION("unknown_operation", 404),
    /** Nothing exists at the request's path. */
    NOT_FOUND("not_found", 404),
    /** The path does not support the request's method. */
    METHOD_NOT_ALLOWED("method_not_allowed", 405),
    /** The caller did not send the request body in time. */
    SLOW_SENDER("slow_sender", 408),
    /** The requested or pinned version is withdrawn, or no suitable version takes new sessions. */
    VERSION_WITHDRAWN("version_withdrawn", 410),
    /** The configuration was changed by another operator since it was read. */
    CONFIG_CONFLICT("config_conflict", 409),
    /** The idempotency key was used before with a different body. */
    KEY_REUSED("key_reused", 422),
    /** The rules file has faults. */
    RULES_INVALID("rules_invalid", 422),
    /** The request body exceeds the size limit. */
    BODY_TOO_LARGE("body_too_large", 413),
    /** The path does not support the request's content type. */
    UNSUPPORTED_MEDIA_TYPE("unsupported_media_type", 415),
    /** The request exceeds a limit of the client account. */
    ACCOUNT_LIMIT("account_limit", 429),
    /** The request could not start before its deadline. */
    DEADLINE_UNREACHABLE("deadline_unreachable", 503),
    /** Every endpoint that may serve the request is full or out of service. */
    POOL_EXHAUSTED("pool_exhausted", 503),
    /** The instance is overloaded and sheds this request. */
    OVERLOADED("overloaded", 503),
    /** The instance is draining and takes no new requests. */
    DRAINING("draining", 503),
    /** The instance cannot confirm that its configuration is current. */
    CONFIG_STALE("config_stale", 503),
    /** The claim of a non-idempotent request could not be stored. */
    CLAIM_UNAVAILABLE("claim_unavailable", 503),
    /** The bill could be neither stored nor held by another instance. */
    BILLING_UNAVAILABLE("billing_unavailable", 503),
    /** The session's version could not be looked up or stored. */
    SESSION_UNAVAILABLE("session_unavailable", 503),
    /** The platform's store did not respond. */
    STORE_UNAVAILABLE("store_unavailable", 503),
    /** The request made several endpoints fail and is not retried. */
    POISON_REQUEST("poison_request", 422),
    /** An endpoint failed after the request may have reached it. */
    ENDPOINT_FAILED("endpoint_failed", 502),
    /** An endpoint's response was malformed, incomplete or belonged to another request. */
    ENDPOINT_ANSWER_INVALID("endpoint_answer_invalid", 502),
    /** The deadline passed after the request may have reached an endpoint. */
    DEADLINE_EXCEEDED("deadline_exceeded", 504),
    /** An earlier request with this idempotency key has an unknown outcome. */
    OUTCOME_UNKNOWN("outcome_unknown", 409),
    /** An earlier request with this idempotency key ran, but its response was too large to store. */
    ANSWER_NOT_KEPT("answer_not_kept", 409),
    /** An unexpected error in the router itself. */
    INTERNAL("internal", 500);

    private final String code;
    private final int httpStatus;

    ErrorCode(String code, int httpStatus) {
        this.code = code;
        this.httpStatus = httpStatus;
    }

    /**
     * Returns the stable code that appears in responses, metrics and logs.
     *
     * @return lower-case words joined by underscores
     */
    public String code() {
        return code;
    }

    /**
     * Returns the HTTP status sent with the code.
     *
     * @return a status from 400 to 599
     */
    public int httpStatus() {
        return httpStatus;
    }
}
