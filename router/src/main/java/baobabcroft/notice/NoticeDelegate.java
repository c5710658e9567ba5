package baobabcroft.notice;

/** What an instance tells others and hears from them. Called on the exchange's thread. */
public interface NoticeDelegate {
    /**
     * Returns what this instance has to tell to its failure domain.
     *
     * @return its own contents
     */
    NoticeContents ownContents();

    /**
     * Returns what this instance has to tell elsewhere.
     *
     * @return the contents of its failure domain as a whole
     */
    NoticeContents domainContents();

    /**
     * Hears an instance of the same failure domain.
     *
     * @param instance its name
     * @param sequence grows with each of its notices
     * @param contents its own contents
     */
    void onInstanceNotice(String instance, long sequence, NoticeContents contents);

    /**
     * Hears of another failure domain.
     *
     * @param failureDomain the failure domain
     * @param contents its contents as a whole
     */
    void onDomainNotice(String failureDomain, NoticeContents contents);
}
