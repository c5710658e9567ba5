package baobabcroft.standin.http;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/**
 * A completely received request and the connection on which it arrived.
 *
 * @param request the request line and headers
 * @param body the request body, decoded as UTF-8
 * @param connection the connection on which the request arrived
 */
public record Exchange(HttpRequest request, String body, Connection connection) {
    /** Connection on which a request arrived. */
    public interface Connection {
        /** Aborts the connection immediately, discarding unsent bytes. */
        void abort();

        /**
         * Returns a stage that completes when the connection has ended.
         *
         * @return a stage that completes after the client closed the connection or {@link #abort} was called
         */
        CompletionStage<Void> closed();
    }

    /**
     * Returns the name of the HTTP method.
     *
     * @return the name in upper case, such as {@code POST}
     */
    public String method() {
        return request.method().name();
    }

    /**
     * Returns the path without the query.
     *
     * @return the path, starting with a slash
     */
    public String path() {
        return request.getUri().path();
    }

    /**
     * Returns the path split at slashes.
     *
     * @return the non-empty path segments, in order
     */
    public ImmutableList<String> segments() {
        return ImmutableList.copyOf(Splitter.on('/').omitEmptyStrings().split(path()));
    }

    /**
     * Returns a header's value.
     *
     * @param name the header name, case-insensitive
     * @return the value, or empty if the header is absent
     */
    public Optional<String> header(String name) {
        return request.getHeader(name).map(header -> header.value());
    }

    /**
     * Returns the value of a query parameter.
     *
     * @param name the parameter's name
     * @return the first value, or empty if the parameter is absent
     */
    public Optional<String> parameter(String name) {
        return request.getUri().query().get(name);
    }

    /**
     * Returns the value of a query parameter as a floating-point number.
     *
     * @param name the parameter's name
     * @param defaultValue the value to return if the parameter is absent
     * @return the parsed value, or the default
     * @throws NumberFormatException if the value is not a number of this type
     */
    public double doubleParameter(String name, double defaultValue) {
        return parameter(name).map(Double::valueOf).orElse(defaultValue);
    }

    /**
     * Returns the value of a query parameter as an integer.
     *
     * @param name the parameter's name
     * @param defaultValue the value to return if the parameter is absent
     * @return the parsed value, or the default
     * @throws NumberFormatException if the value is not a number of this type
     */
    public long longParameter(String name, long defaultValue) {
        return parameter(name).map(Long::valueOf).orElse(defaultValue);
    }
}
