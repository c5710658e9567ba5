package baobabcroft.admin;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.ErrorCode;
import baobabcroft.common.Execution;
import baobabcroft.common.RouterException;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import com.google.common.base.Strings;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.server.AllDirectives;
import org.apache.pekko.http.javadsl.server.ExceptionHandler;
import org.apache.pekko.http.javadsl.server.MalformedRequestContentRejection;
import org.apache.pekko.http.javadsl.server.MethodRejection;
import org.apache.pekko.http.javadsl.server.MissingQueryParamRejection;
import org.apache.pekko.http.javadsl.server.PathMatchers;
import org.apache.pekko.http.javadsl.server.Rejection;
import org.apache.pekko.http.javadsl.server.RejectionHandler;
import org.apache.pekko.http.javadsl.server.Route;
import org.apache.pekko.http.javadsl.unmarshalling.Unmarshaller;
import org.apache.pekko.http.scaladsl.model.EntityStreamSizeException;

/** HTTP routes of the administration API, under {@code /admin/v1}. Thread-safe. */
public final class AdminRoutes extends AllDirectives {
    private static final long MAX_BODY_BYTES = 4L << 20;
    private static final EventLog LOG = EventLog.of(AdminRoutes.class);

    private final AdminOperations operations;
    private final AdminKeys keys;

    private AdminRoutes(AdminOperations operations, AdminKeys keys) {
        this.operations = checkNotNull(operations);
        this.keys = checkNotNull(keys);
    }

    /**
     * Returns the routes.
     *
     * @param operations implementation of the commands
     * @param keys bearer keys of the operators who may use the API
     * @return a route that rejects all paths except those under {@code /admin}
     */
    public static Route create(AdminOperations operations, AdminKeys keys) {
        return new AdminRoutes(operations, keys).adminRoutes();
    }

    private Route adminRoutes() {
        ExceptionHandler failures = ExceptionHandler.newBuilder()
                .matchAny(failure -> complete(AdminResponses.failure(failure)))
                .build();
        return pathPrefix(
                "admin",
                () -> handleExceptions(
                        failures, () -> handleRejections(rejections(), () -> authenticated(this::commands))));
    }

    private RejectionHandler rejections() {
        return RejectionHandler.newBuilder()
                .handle(
                        MethodRejection.class,
                        rejection ->
                                refuse(ErrorCode.METHOD_NOT_ALLOWED, "this path supports " + rejection.supported()))
                .handle(MalformedRequestContentRejection.class, this::refuseBody)
                .handle(
                        MissingQueryParamRejection.class,
                        rejection -> refuse(
                                ErrorCode.BAD_REQUEST, "parameter '" + rejection.parameterName() + "' is missing"))
                .handle(Rejection.class, rejection -> refuse(ErrorCode.BAD_REQUEST, rejection.toString()))
                .handleNotFound(refuse(ErrorCode.NOT_FOUND, "there is no such command"))
                .build();
    }

    private Route refuseBody(MalformedRequestContentRejection rejection) {
        if (rejection.getCause() instanceof EntityStreamSizeException) {
            return refuse(ErrorCode.BODY_TOO_LARGE, "a body may have at most " + MAX_BODY_BYTES + " bytes");
        }
        return refuse(ErrorCode.MALFORMED_BODY, rejection.message());
    }

    private Route refuse(ErrorCode code, String detail) {
        return complete(AdminResponses.problem(Problem.of(code, Execution.NOT_RUN, detail)));
    }

    private Route authenticated(Function<String, Route> inner) {
        return optionalHeaderValueByName("Authorization", header -> header.flatMap(keys::operatorOf)
                .map(inner)
                .orElseGet(() -> refuse(ErrorCode.UNKNOWN_OPERATOR, "the bearer key is missing or unknown")));
    }

    private Route commands(String operator) {
        return pathPrefix(
                "v1",
                () -> concat(
                        path("rules", () -> concat(get(this::current), post(() -> apply(operator)))),
                        pathPrefix("rules", () -> concat(history(), rollback(operator))),
                        path("explain", () -> get(this::explain)),
                        path("bills", () -> get(() -> respond(operations.bills(), AdminResponses::ok))),
                        path("claims", () -> get(() -> respond(operations.openClaims(), AdminResponses::ok))),
                        path("status", () -> get(() -> respond(operations.status(), AdminResponses::ok))),
                        path("drain", () -> post(() -> drain(operator)))));
    }

    private Route current() {
        return respond(operations.current(), found -> AdminResponses.okOrNotFound(found, "configuration yet"));
    }

    private Route history() {
        return pathPrefix(
                "history",
                () -> concat(
                        pathEnd(() -> get(() -> respond(operations.history(), AdminResponses::ok))),
                        path(PathMatchers.longSegment(), number -> get(() -> historyEntry(number)))));
    }

    private Route historyEntry(long number) {
        return respond(
                operations.historyEntry(number),
                found -> AdminResponses.okOrNotFound(found, "configuration number " + number));
    }

    private Route apply(String operator) {
        return body(ApplyRequest.class, request -> {
            checkNotEmpty(request.text(), "text");
            checkNotEmpty(request.comment(), "comment");
            LOG.log(LogEvent.OPERATOR_COMMAND, operator, "apply on " + request.baseNumber());
            return respond(
                    operations.apply(request.text(), operator, request.baseNumber(), request.comment()),
                    AdminResponses::applyResult);
        });
    }

    private Route rollback(String operator) {
        return path(
                "rollback",
                () -> post(() -> body(RollbackRequest.class, request -> {
                    LOG.log(LogEvent.OPERATOR_COMMAND, operator, "rollback to " + request.number());
                    return respond(
                            operations.rollback(request.number(), operator, request.baseNumber()),
                            AdminResponses::applyResult);
                })));
    }

    private Route explain() {
        return parameter(
                "account",
                account -> parameter(
                        "target",
                        target -> parameterOptional(
                                "session",
                                session -> parameterOptional("failureDomain", failureDomain -> {
                                    ExplainQuery query = new ExplainQuery(account, target, session, failureDomain);
                                    return respond(operations.explain(query), AdminResponses::ok);
                                }))));
    }

    private Route drain(String operator) {
        LOG.log(LogEvent.OPERATOR_COMMAND, operator, "drain");
        return respond(operations.drain(), AdminResponses::ok);
    }

    private <T> Route body(Class<T> type, Function<T, Route> inner) {
        return withSizeLimit(
                MAX_BODY_BYTES, () -> entity(Unmarshaller.entityToString(), json -> inner.apply(parse(json, type))));
    }

    private static <T> T parse(String json, Class<T> type) {
        try {
            return AdminJson.read(json, type);
        } catch (IllegalArgumentException e) {
            throw RouterException.notRun(ErrorCode.MALFORMED_BODY, Strings.nullToEmpty(e.getMessage()));
        }
    }

    private static void checkNotEmpty(String value, String member) {
        if (Strings.isNullOrEmpty(value)) {
            throw RouterException.notRun(ErrorCode.MALFORMED_BODY, member + " is empty");
        }
    }

    private <T> Route respond(CompletionStage<T> result, Function<T, HttpResponse> toResponse) {
        return completeWithFuture(result.handle((value, failure) -> {
            Optional<Throwable> error = Optional.ofNullable(failure);
            return error.map(AdminRoutes::unwrap).map(AdminResponses::failure).orElseGet(() -> toResponse.apply(value));
        }));
    }

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }
}
