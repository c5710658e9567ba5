package baobabcroft.admin;

import baobabcroft.common.ErrorCode;
import baobabcroft.common.Execution;
import baobabcroft.common.RouterException;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import com.google.common.collect.ImmutableList;
import com.google.common.math.LongMath;
import java.math.RoundingMode;
import java.util.Optional;
import java.util.OptionalLong;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpCharsets;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;

/** Turns results of the operations into HTTP answers. Thread-safe. */
final class AdminAnswers {
    private static final EventLog LOG = EventLog.of(AdminAnswers.class);
    private static final ContentType.WithFixedCharset PROBLEM_JSON = MediaTypes.applicationWithFixedCharset(
                    "problem+json", HttpCharsets.UTF_8)
            .toContentType();
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final long MILLIS_PER_SECOND = 1000;

    private AdminAnswers() {}

    static HttpResponse ok(Object body) {
        return json(OK, body);
    }

    private static HttpResponse json(int status, Object body) {
        return HttpResponse.create()
                .withStatus(status)
                .withEntity(HttpEntities.create(ContentTypes.APPLICATION_JSON, AdminJson.write(body)));
    }

    static HttpResponse found(Optional<?> body, String what) {
        if (body.isEmpty()) {
            return problem(Problem.of(ErrorCode.NOT_FOUND, Execution.NOT_RUN, "there is no " + what));
        }
        return ok(body.get());
    }

    static HttpResponse applied(ApplyOutcome outcome) {
        if (outcome instanceof ApplyOutcome.Accepted accepted) {
            return json(OK, new ApplyResponse(accepted.number(), true, accepted.confirmedBy(), ImmutableList.of()));
        }
        if (outcome instanceof ApplyOutcome.Written written) {
            return json(ACCEPTED, new ApplyResponse(written.number(), false, ImmutableList.of(), written.missing()));
        }
        if (outcome instanceof ApplyOutcome.Conflict conflict) {
            return problem(Problem.of(conflict));
        }
        if (outcome instanceof ApplyOutcome.Invalid invalid) {
            return problem(Problem.of(invalid));
        }
        ApplyOutcome.Unavailable unavailable = (ApplyOutcome.Unavailable) outcome;
        return problem(Problem.of(ErrorCode.STORE_UNAVAILABLE, unavailable.execution(), unavailable.reason()));
    }

    static HttpResponse problem(Problem problem) {
        return HttpResponse.create()
                .withStatus(problem.status())
                .withEntity(HttpEntities.create(PROBLEM_JSON, AdminJson.write(problem)));
    }

    static HttpResponse refusal(RouterException refusal) {
        HttpResponse response = problem(Problem.of(refusal));
        OptionalLong retryAfterMillis = refusal.retryAfterMillis();
        if (retryAfterMillis.isEmpty()) {
            return response;
        }
        long seconds = LongMath.divide(retryAfterMillis.getAsLong(), MILLIS_PER_SECOND, RoundingMode.CEILING);
        return response.addHeader(RawHeader.create("Retry-After", Long.toString(seconds)));
    }

    static HttpResponse failure(Throwable failure) {
        Optional<RouterException> refusal = RouterException.findIn(failure);
        if (refusal.isPresent()) {
            return refusal(refusal.get());
        }
        LOG.logFailure(LogEvent.INTERNAL_FAULT, failure, "admin");
        String detail = "unexpected fault; see the instance's log";
        return problem(Problem.of(ErrorCode.INTERNAL, Execution.MAY_HAVE_RUN, detail));
    }
}
