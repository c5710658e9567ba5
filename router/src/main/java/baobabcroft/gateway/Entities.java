package baobabcroft.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.scaladsl.model.EntityStreamSizeException;
import org.apache.pekko.util.ByteString;
import scala.Option;

/** Reads whole entities within limits of length and time. */
final class Entities {
    private Entities() {}

    /**
     * Returns an entity's bytes, at once if they have arrived already.
     *
     * @param entity the entity
     * @param maxBytes longest length
     * @param timeoutMillis longest time, in milliseconds
     * @param system runs the stream
     * @return the bytes; fails with {@link EntityStreamSizeException}, a timeout or the stream's failure
     */
    static CompletionStage<ByteString> read(
            HttpEntity entity, long maxBytes, long timeoutMillis, ActorSystem<?> system) {
        if (entity instanceof HttpEntity.Strict strict) {
            return strict.getData().length() <= maxBytes
                    ? CompletableFuture.completedFuture(strict.getData())
                    : CompletableFuture.failedFuture(new EntityStreamSizeException(maxBytes, Option.apply((Object)
                            (long) strict.getData().length())));
        }
        return entity.withSizeLimit(maxBytes).toStrict(timeoutMillis, system).thenApply(HttpEntity.Strict::getData);
    }
}
