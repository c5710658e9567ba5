package baobabcroft.balance;

/** Distance of an endpoint from this instance, nearest first. */
public enum Locality {
    /** In the instance's own failure domain. */
    SAME_FAILURE_DOMAIN,
    /** In another failure domain of the instance's region. */
    SAME_REGION,
    /** In another region; traffic to it is billed by volume. */
    ELSEWHERE
}
