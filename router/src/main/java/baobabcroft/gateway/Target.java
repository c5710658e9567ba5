package baobabcroft.gateway;

import baobabcroft.rules.EndpointRule;
import com.google.common.collect.ImmutableList;
import java.util.function.Function;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/**
 * Where a request may go under one rule set, and how it looks there.
 *
 * @param name full name of the version or operation
 * @param priceMicros price of a thousand tokens or of one call, in millionths of the currency unit
 * @param endpoints the endpoints that serve it
 * @param request makes the request for one of them
 */
record Target(
        String name,
        long priceMicros,
        ImmutableList<EndpointRule> endpoints,
        Function<EndpointRule, HttpRequest> request) {}
