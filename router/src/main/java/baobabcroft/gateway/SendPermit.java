package baobabcroft.gateway;

/** Decides whether a request may be sent. Asked right before every send. */
interface SendPermit {
    /** Permits every send. */
    SendPermit ALWAYS = new SendPermit() {
        @Override
        public boolean take() {
            return true;
        }

        @Override
        public void giveBack() {}
    };

    /** Takes the right to send; nothing may be sent on false. */
    boolean take();

    /** Gives the right back, because the send provably ran nothing. */
    void giveBack();
}
