package baobabcroft.notice;

/**
 * Supplies the contents of outgoing notices and consumes those of incoming ones. Called on the event loop of the {@link
 * NoticeExchange}.
 */
public interface NoticeDelegate {
    /**
     * Returns the contents of notices to the other instances of this failure domain.
     *
     * @return loads and counts of this instance alone
     */
    NoticeContents ownContents();

    /**
     * Returns the contents of notices to other failure domains.
     *
     * @return loads and counts summed over this failure domain
     */
    NoticeContents domainContents();

    /**
     * Handles a notice of another instance of this failure domain.
     *
     * @param instance name of the instance
     * @param sequence sequence number, which increases with each notice of the instance
     * @param contents loads and counts of that instance alone
     */
    void onInstanceNotice(String instance, long sequence, NoticeContents contents);

    /**
     * Handles a notice about another failure domain.
     *
     * @param failureDomain name of the failure domain
     * @param contents loads and counts summed over that failure domain
     */
    void onDomainNotice(String failureDomain, NoticeContents contents);
}
