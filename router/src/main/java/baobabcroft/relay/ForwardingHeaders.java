package baobabcroft.relay;

import baobabcroft.routing.AllowedRegions;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.Ints;
import com.google.common.primitives.Longs;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/** Headers between instances, of requests that one instance forwards to another and of their answers. */
final class ForwardingHeaders {
    /** Sends of the forwarding instance, and those among them after which the request may have run. */
    private static final String FORWARDED = "Router-Forwarded";
    /**
     * Regions in which the configuration at the caller's instance allows the request, percent-encoded and joined by
     * commas; absent if all are allowed. Older builds neither send nor read it.
     */
    private static final String ALLOWED_REGIONS = "Router-Allowed-Regions";
    /** Version of the configuration at the caller's instance. Older builds neither send nor read it. */
    private static final String CONFIG_VERSION = "Router-Config-Version";
    /** Why an instance does not serve a forwarded request, which it has not sent to any endpoint. */
    private static final String REJECTED = "Router-Forwarded-Rejected";

    private ForwardingHeaders() {}

    /**
     * What the forwarding instance has done with a request, and what it has decided.
     *
     * @param sends number of sends to endpoints, including those that failed before anything was sent
     * @param possibleRuns number of those after which the request may have run
     * @param allowedRegions the regions that the configuration at the request's arrival allows
     * @param configVersion version of that configuration; 0 if it is not stated
     */
    record PriorSends(int sends, int possibleRuns, AllowedRegions allowedRegions, long configVersion) {
        static final PriorSends NONE = new PriorSends(0, 0, AllowedRegions.ALL, 0);
    }

    /** Returns headers that state what this instance has done with the request, in place of any such statement. */
    static Headers withPriorSends(Headers headers, PriorSends prior) {
        ImmutableList.Builder<Header> lines = ImmutableList.<Header>builder()
                .addAll(without(headers).lines())
                .add(new Header(FORWARDED, prior.sends() + "," + prior.possibleRuns()))
                .add(new Header(CONFIG_VERSION, Long.toString(prior.configVersion())));
        prior.allowedRegions()
                .names()
                .ifPresent(names -> lines.add(new Header(
                        ALLOWED_REGIONS,
                        names.stream()
                                .map(name -> URLEncoder.encode(name, StandardCharsets.UTF_8))
                                .collect(Collectors.joining(",")))));
        return Headers.copyOf(lines.build());
    }

    /** Returns what the forwarding instance states; empty if it states nothing that can be read. */
    static Optional<PriorSends> priorSends(Headers headers) {
        List<String> numbers =
                headers.first(FORWARDED).map(Splitter.on(',')::splitToList).orElse(List.of());
        if (numbers.size() != 2) {
            return Optional.empty();
        }
        Integer sends = Ints.tryParse(numbers.get(0));
        Integer possibleRuns = Ints.tryParse(numbers.get(1));
        Long configVersion = Longs.tryParse(headers.first(CONFIG_VERSION).orElse("0"));
        boolean isValid = sends != null
                && possibleRuns != null
                && possibleRuns >= 0
                && sends >= possibleRuns
                && configVersion != null;
        return isValid
                ? allowedRegions(headers).map(regions -> new PriorSends(sends, possibleRuns, regions, configVersion))
                : Optional.empty();
    }

    /** Returns the regions that the forwarding instance states, all if it states none; empty if they are unreadable. */
    private static Optional<AllowedRegions> allowedRegions(Headers headers) {
        Optional<String> stated = headers.first(ALLOWED_REGIONS);
        if (stated.isEmpty()) {
            return Optional.of(AllowedRegions.ALL);
        }
        try {
            ImmutableSet<String> names = Splitter.on(',')
                    .omitEmptyStrings()
                    .splitToStream(stated.get())
                    .map(name -> URLDecoder.decode(name, StandardCharsets.UTF_8))
                    .collect(ImmutableSet.toImmutableSet());
            return Optional.of(new AllowedRegions(Optional.of(names)));
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    /** Returns the headers without those between instances. */
    static Headers without(Headers headers) {
        return Headers.copyOf(headers.lines().stream()
                .filter(line -> !line.name().equalsIgnoreCase(FORWARDED))
                .filter(line -> !line.name().equalsIgnoreCase(ALLOWED_REGIONS))
                .filter(line -> !line.name().equalsIgnoreCase(CONFIG_VERSION))
                .toList());
    }

    /** Returns the headers of an answer that states that an instance does not serve a forwarded request. */
    static Headers rejection(String reason) {
        return Headers.copyOf(ImmutableList.of(new Header(REJECTED, reason)));
    }

    static boolean isRejection(Headers headers) {
        return headers.first(REJECTED).isPresent();
    }
}
