package baobabcroft.standin.http;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/**
 * A request that has arrived whole, with the connection that it came on.
 *
 * @param request the request's head
 * @param body the request's body as text
 * @param connection the connection
 */
public record Exchange(HttpRequest request, String body, Connection connection) {
    /** The connection of a request. */
    public interface Connection {
        /** Cuts the connection at once; whatever is not written yet is lost. */
        void abort();

        /**
         * Returns a stage that completes when the caller has closed the connection, or it was cut.
         *
         * @return the stage
         */
        CompletionStage<Void> closed();
    }

    /**
     * Returns the method's name.
     *
     * @return for example {@code POST}
     */
    public String method() {
        return request.method().name();
    }

    /**
     * Returns the path without the query.
     *
     * @return the path, which begins with a slash
     */
    public String path() {
        return request.getUri().path();
    }

    /**
     * Returns the segments of the path.
     *
     * @return the segments between slashes, without empty ones
     */
    public ImmutableList<String> segments() {
        return ImmutableList.copyOf(Splitter.on('/').omitEmptyStrings().split(path()));
    }

    /**
     * Returns a header's value.
     *
     * @param name the header's name, in any case
     * @return the value, if the request has the header
     */
    public Optional<String> header(String name) {
        return request.getHeader(name).map(header -> header.value());
    }

    /**
     * Returns a parameter of the query.
     *
     * @param name the parameter's name
     * @return its first value, if there is one
     */
    public Optional<String> parameter(String name) {
        return request.getUri().query().get(name);
    }

    /**
     * Returns a parameter of the query as a number.
     *
     * @param name the parameter's name
     * @param absent the number to return if there is none
     * @return the number
     */
    public double number(String name, double absent) {
        return parameter(name).map(Double::valueOf).orElse(absent);
    }

    /**
     * Returns a parameter of the query as a whole number.
     *
     * @param name the parameter's name
     * @param absent the number to return if there is none
     * @return the number
     */
    public long wholeNumber(String name, long absent) {
        return parameter(name).map(Long::valueOf).orElse(absent);
    }
}
