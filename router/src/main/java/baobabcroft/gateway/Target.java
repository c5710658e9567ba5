package baobabcroft.gateway;

import baobabcroft.rules.EndpointRule;
import com.google.common.collect.ImmutableList;
import java.util.function.Function;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/**
 * The version or operation to which a request is sent, resolved under one rule set.
 *
 * @param name full name of the version or operation
 * @param priceMicros price of a thousand tokens or of one call, in millionths of the currency unit
 * @param endpoints the endpoints that serve the version or operation
 * @param requestFactory creates the HTTP request for one of the endpoints
 */
record Target(
        String name,
        long priceMicros,
        ImmutableList<EndpointRule> endpoints,
        Function<EndpointRule, HttpRequest> requestFactory) {}
