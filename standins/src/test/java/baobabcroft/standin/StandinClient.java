package baobabcroft.standin;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;

/** HTTP client for tests of stand-ins. */
public final class StandinClient {
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** Sends a POST request with the given headers, as alternating names and values, and returns the response. */
    public HttpResponse<String> post(int port, String path, String body, String... headers)
            throws IOException, InterruptedException {
        return http.send(request(port, path, body, headers), HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a POST request, returns the first five bytes of the response body and closes the connection. */
    public String firstBytes(int port, String path, String body) throws IOException, InterruptedException {
        HttpResponse<InputStream> response =
                http.send(request(port, path, body), HttpResponse.BodyHandlers.ofInputStream());
        try (InputStream stream = response.body()) {
            return new String(stream.readNBytes(5), StandardCharsets.UTF_8);
        }
    }

    private static HttpRequest request(int port, String path, String body, String... headers) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .POST(HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            builder.headers(headers);
        }
        return builder.build();
    }
}
