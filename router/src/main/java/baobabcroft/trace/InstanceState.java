package baobabcroft.trace;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * State of an instance when it first logged a request, taken from its latest earlier event on that state.
 *
 * @param instance name of the instance
 * @param subject the part of the state, such as {@code configuration} or {@code store}
 * @param belief the logged state, such as the number of the configuration
 * @param ageMillis time from that event to the first event of the request on this instance, in milliseconds
 */
public record InstanceState(String instance, String subject, String belief, long ageMillis) {
    /** Checks the components. */
    public InstanceState {
        checkNotNull(instance);
        checkNotNull(subject);
        checkNotNull(belief);
    }
}
