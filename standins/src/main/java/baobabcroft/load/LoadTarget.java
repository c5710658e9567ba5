package baobabcroft.load;

import java.net.URI;
import java.util.Optional;

/**
 * Where requests go.
 *
 * @param name name in the report
 * @param url the full URL
 * @param model the model that chat requests name
 * @param accountKey the client account's bearer key, if one is sent
 */
public record LoadTarget(String name, URI url, String model, Optional<String> accountKey) {}
