package baobabcroft.trace;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What an instance believed when it decided on a request, from its last line on the subject.
 *
 * @param instance the instance
 * @param subject what it is about, as {@code configuration}
 * @param belief what was believed
 * @param ageMillis time between the line and the request's first line of the instance, in milliseconds
 */
public record Belief(String instance, String subject, String belief, long ageMillis) {
    /** Checks the parts. */
    public Belief {
        checkNotNull(instance);
        checkNotNull(subject);
        checkNotNull(belief);
    }
}
