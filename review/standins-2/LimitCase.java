import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** The operator raises the limit on heads; proper requests on kept channels are to be served as the new version says. */
final class LimitCase {
    private static final int OLD_LIMIT = 16_384;
    private static final int NEW_LIMIT = 32_768;
    private static final int LONG_HEADER = 20_000;
    private static final int CHANNELS = 30;
    private static final long CONFIG_APPLY_MILLIS = 3_000;
    private static final long MARGIN_MILLIS = 2_000;
    private static final int BUDGET_MILLIS = 2_500;

    private LimitCase() {}

    public static void main(String[] args) {
        Rig.main(args[0], LimitCase::run);
    }

    private static boolean run(Rig rig) throws Exception {
        rig.configure(7, rig.trouble ? OLD_LIMIT : NEW_LIMIT);
        for (String zone : List.of("zagreb-a", "split-a", "osijek-a")) {
            rig.new Worker("i-" + zone, "orders", "v1", 20).register(zone);
        }
        Rig.Instance instance = rig.start("front-zagreb-a-1", "zagreb-a");
        rig.awaitReady();
        Thread.sleep(4_000);
        List<Socket> channels = new ArrayList<>();
        for (int i = 0; i < CHANNELS; i++) {
            Socket channel = new Socket();
            channel.connect(new InetSocketAddress(Http.HOST, instance.callers), 1_000);
            channel.setSoTimeout(BUDGET_MILLIS);
            channels.add(channel);
            if (send(rig, channel, 10) != 200) {
                throw new IllegalStateException("a short request fails");
            }
        }
        if (rig.trouble) {
            rig.configure(8, NEW_LIMIT);
            rig.note("config", "version 8 with max_header_bytes " + NEW_LIMIT + " is acknowledged");
        }
        Thread.sleep(CONFIG_APPLY_MILLIS + MARGIN_MILLIS);
        int denied = 0;
        for (Socket channel : channels) {
            int status = send(rig, channel, LONG_HEADER);
            denied += status >= 400 && status < 500 ? 1 : 0;
            channel.close();
        }
        try (Socket channel = new Socket()) {
            channel.connect(new InetSocketAddress(Http.HOST, instance.callers), 1_000);
            channel.setSoTimeout(BUDGET_MILLIS);
            rig.note("judge", "the same on a new channel: " + send(rig, channel, LONG_HEADER));
        }
        int all = 2 * CHANNELS + 1;
        double allowed = 5 + all / 500.0;
        rig.note("judge", denied + " of " + all + " requests were ended with a 4xx; allowed are " + allowed);
        return denied <= allowed;
    }

    private static int send(Rig rig, Socket channel, int headerBytes) throws IOException {
        String id = rig.newId();
        String head = "GET /lookup/a1 HTTP/1.1\r\nHost: " + Rig.CLIENT_HOST + "\r\nBaobabcroft-Request-Id: " + id
                + "\r\nBaobabcroft-Deadline-Ms: " + BUDGET_MILLIS + "\r\nAuthorization: Bearer " + Rig.KEY + "\r\nNote: "
                + "n".repeat(headerBytes) + "\r\n\r\n";
        channel.getOutputStream().write(Http.bytes(head));
        channel.getOutputStream().flush();
        Http.Message answer = Http.read(new BufferedInputStream(channel.getInputStream()), true, "GET");
        int status = answer == null ? 0 : answer.status();
        rig.note("request", id + " with a head of " + head.length() + " bytes: " + status);
        return status;
    }
}
