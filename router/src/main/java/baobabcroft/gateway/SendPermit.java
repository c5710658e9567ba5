package baobabcroft.gateway;

/** Permission to send a request, acquired immediately before each send. */
interface SendPermit {
    /** A permit that allows every send. */
    SendPermit ALWAYS = new SendPermit() {
        @Override
        public boolean tryAcquire() {
            return true;
        }

        @Override
        public void release() {}
    };

    /** Acquires the permission. If this returns false, the request must not be sent. */
    boolean tryAcquire();

    /** Releases the permission after a send that provably did not execute the request. */
    void release();
}
