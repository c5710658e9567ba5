package baobabcroft.load;

import java.net.URI;
import java.util.Optional;

/**
 * Destination of requests.
 *
 * @param name name of the target in reports
 * @param url URL of the requests, including the path
 * @param model model named in chat requests
 * @param accountKey the client account's bearer key; empty if requests carry no {@code Authorization} header
 */
public record LoadTarget(String name, URI url, String model, Optional<String> accountKey) {}
