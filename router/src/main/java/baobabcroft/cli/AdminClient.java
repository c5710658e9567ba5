package baobabcroft.cli;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.admin.AdminJson;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;

/** HTTP client for one instance's admin port. Does not retry requests. Thread-safe. */
final class AdminClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(60);
    private static final String PREFIX = "/admin/v1/";

    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();
    private final URI url;
    private final String key;

    private AdminClient(URI url, String key) {
        this.url = checkNotNull(url);
        this.key = checkNotNull(key);
    }

    static AdminClient create(URI url, String key) {
        return new AdminClient(url, key);
    }

    AdminResponse get(String path) {
        return send(request(path), "");
    }

    AdminResponse post(String path, Object body) {
        return post(path, BodyPublishers.ofString(AdminJson.write(body)));
    }

    AdminResponse post(String path) {
        return post(path, BodyPublishers.noBody());
    }

    private AdminResponse post(String path, HttpRequest.BodyPublisher body) {
        HttpRequest.Builder request =
                request(path).header("Content-Type", "application/json").POST(body);
        return send(request, "; the command may have taken effect, see 'rules show' and 'status'");
    }

    private HttpRequest.Builder request(String path) {
        try {
            return HttpRequest.newBuilder(url.resolve(PREFIX + path))
                    .timeout(REQUEST_TIMEOUT)
                    .header("Authorization", "Bearer " + key);
        } catch (IllegalArgumentException e) {
            throw new CommandException(
                    ExitCode.INPUT_FAULT, "the operator's key contains characters that an HTTP header does not allow");
        }
    }

    private AdminResponse send(HttpRequest.Builder request, String warning) {
        try {
            var response = client.send(request.build(), BodyHandlers.ofString());
            return new AdminResponse(response.statusCode(), response.body());
        } catch (ConnectException | HttpConnectTimeoutException e) {
            throw unreachable(e, "");
        } catch (IOException e) {
            throw unreachable(e, warning);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw unreachable(e, warning);
        }
    }

    private CommandException unreachable(Exception cause, String warning) {
        String reason = cause.getClass().getSimpleName();
        return new CommandException(ExitCode.UNREACHABLE, "no answer from " + url + " (" + reason + ")" + warning);
    }
}
