package baobabcroft.relay;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Ints;
import java.util.List;
import java.util.Optional;

/** Headers between instances, of requests that one instance forwards to another and of their answers. */
final class ForwardingHeaders {
    /** Sends of the forwarding instance, and those among them after which the request may have run. */
    private static final String FORWARDED = "Router-Forwarded";
    /** Why an instance does not serve a forwarded request, which it has not sent to any endpoint. */
    private static final String REJECTED = "Router-Forwarded-Rejected";

    private ForwardingHeaders() {}

    /**
     * What the forwarding instance has done with a request.
     *
     * @param sends number of sends to endpoints, including those that failed before anything was sent
     * @param possibleRuns number of those after which the request may have run
     */
    record PriorSends(int sends, int possibleRuns) {
        static final PriorSends NONE = new PriorSends(0, 0);
    }

    /** Returns headers that state what this instance has done with the request, in place of any such statement. */
    static Headers withPriorSends(Headers headers, PriorSends prior) {
        return Headers.copyOf(ImmutableList.<Header>builder()
                .addAll(without(headers).lines())
                .add(new Header(FORWARDED, prior.sends() + "," + prior.possibleRuns()))
                .build());
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
        boolean isValid = sends != null && possibleRuns != null && possibleRuns >= 0 && sends >= possibleRuns;
        return isValid ? Optional.of(new PriorSends(sends, possibleRuns)) : Optional.empty();
    }

    /** Returns the headers without those between instances. */
    static Headers without(Headers headers) {
        return Headers.copyOf(headers.lines().stream()
                .filter(line -> !line.name().equalsIgnoreCase(FORWARDED))
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
