package baobabcroft.balance;

/** How far an endpoint stands from this instance, nearest first. */
public enum Locality {
    /** In the instance's own failure domain. */
    SAME_FAILURE_DOMAIN,
    /** In another failure domain of the instance's region. */
    SAME_REGION,
    /** In another region; its traffic is paid by volume. */
    ELSEWHERE
}
