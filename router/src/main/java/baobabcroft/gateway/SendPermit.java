package baobabcroft.gateway;

/** Permission to send a request, acquired immediately before each send. */
interface SendPermit {
    /** A permit that allows every send. */
    SendPermit ALWAYS = new SendPermit() {
        @Override
        public boolean take() {
            return true;
        }

        @Override
        public void giveBack() {}
    };

    /** Acquires the permission. If this returns false, the request must not be sent. */
    boolean take();

    /** Releases the permission after a send that provably did not execute the request. */
    void giveBack();
}
