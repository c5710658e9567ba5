package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.ErrorCode;
import baobabcroft.common.RouterException;
import java.util.OptionalLong;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeoutException;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.scaladsl.model.EntityStreamSizeException;

/** Reads request bodies with a size limit and a timeout. Thread-safe. */
final class BodyReader {
    private final ActorSystem<?> system;
    private final long maxBodyBytes;
    private final long readTimeoutMillis;

    BodyReader(ActorSystem<?> system, long maxBodyBytes, long readTimeoutMillis) {
        this.system = checkNotNull(system);
        this.maxBodyBytes = maxBodyBytes;
        this.readTimeoutMillis = readTimeoutMillis;
    }

    /**
     * Reads the body of a request.
     *
     * @return the body; fails with {@code body_too_large}, {@code slow_sender} or {@code bad_request}
     * @throws RouterException with {@code body_too_large} if the declared length exceeds the limit
     */
    CompletionStage<byte[]> read(HttpRequest request) {
        OptionalLong declaredBytes = request.entity().getContentLengthOption();
        if (declaredBytes.isPresent() && declaredBytes.getAsLong() > maxBodyBytes) {
            throw tooLarge();
        }
        return EntityReader.read(request.entity(), maxBodyBytes, readTimeoutMillis, system)
                .handle((bytes, failure) -> {
                    if (failure != null) {
                        throw toRouterException(failure);
                    }
                    return bytes.toArray();
                });
    }

    private RouterException toRouterException(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof EntityStreamSizeException) {
            return tooLarge();
        }
        if (cause instanceof TimeoutException) {
            return RouterException.notRun(
                    ErrorCode.SLOW_SENDER, "the request body did not arrive within " + readTimeoutMillis + " ms");
        }
        return RouterException.notRun(
                ErrorCode.BAD_REQUEST, "the request body could not be read: " + cause.getMessage());
    }

    private RouterException tooLarge() {
        return RouterException.notRun(
                ErrorCode.BODY_TOO_LARGE, "the request body is longer than the limit of " + maxBodyBytes + " bytes");
    }
}
