package baobabcroft.soak;

import java.io.IOException;

/** Command {@code soak run}. */
public final class SoakMain {
    private static final int EXIT_HELD = 0;
    private static final int EXIT_BROKEN = 1;
    private static final int EXIT_USAGE = 2;

    private SoakMain() {}

    /**
     * Runs the command.
     *
     * @param args {@code run} and options
     * @throws IOException if the run's files cannot be written
     * @throws InterruptedException if the run is interrupted
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        // A caller that sends again by itself would hide what the instance did.
        System.setProperty("jdk.httpclient.disableRetryConnect", "true");
        System.setProperty("sun.net.httpserver.nodelay", "true");
        try {
            Report report = new Soak(SoakOptions.parse(args), System.out).run();
            System.out.print(report.text());
            System.exit(report.isBroken() ? EXIT_BROKEN : EXIT_HELD);
        } catch (SoakOptions.UsageException unusable) {
            System.err.println(unusable.getMessage());
            System.exit(EXIT_USAGE);
        }
    }
}
