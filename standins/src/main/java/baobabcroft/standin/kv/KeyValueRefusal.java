package baobabcroft.standin.kv;

/** Error response to a well-formed call, with the HTTP status and the gRPC code that etcd returns. */
final class KeyValueRefusal extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private static final int INVALID_ARGUMENT = 3;
    private static final int NOT_FOUND = 5;

    private final int httpStatus;
    private final int grpcCode;

    private KeyValueRefusal(int httpStatus, int grpcCode, String message) {
        super(message, null, false, false);
        this.httpStatus = httpStatus;
        this.grpcCode = grpcCode;
    }

    static KeyValueRefusal tooLarge() {
        return new KeyValueRefusal(400, INVALID_ARGUMENT, "etcdserver: request is too large");
    }

    static KeyValueRefusal unknownLease() {
        return new KeyValueRefusal(404, NOT_FOUND, "etcdserver: requested lease not found");
    }

    int httpStatus() {
        return httpStatus;
    }

    int grpcCode() {
        return grpcCode;
    }
}
