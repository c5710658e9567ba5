package baobabcroft.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.scaladsl.model.EntityStreamSizeException;
import org.apache.pekko.util.ByteString;
import scala.Option;

/** Reads HTTP entities with a size limit and a timeout. */
final class EntityReader {
    private EntityReader() {}

    /**
     * Returns the bytes of an entity. If they are already in memory, the stage is complete on return.
     *
     * @param entity the entity
     * @param maxBytes maximum length, in bytes
     * @param timeoutMillis maximum time, in milliseconds
     * @param system the actor system that runs the stream
     * @return the bytes; fails with {@link EntityStreamSizeException}, a timeout or the failure of the stream
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
