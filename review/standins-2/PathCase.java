import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/** Some clients repeat proper lookups with long paths; other clients of the process are to be answered. */
final class PathCase {
    private static final int LONG_PATH_CLIENTS = 12;
    /** Length of the path, below the limit on heads of 16,384 bytes. */
    private static final int PATH_BYTES = 15_800;
    private static final int TIMEOUT_MILLIS = 1_200;
    private static final int BUDGET_MILLIS = 2_500;
    private static final int REQUESTS = 80;

    private PathCase() {}

    public static void main(String[] args) {
        Rig.main(args[0], PathCase::run);
    }

    private static boolean run(Rig rig) throws Exception {
        rig.configure(7);
        for (String zone : List.of("zagreb-a", "split-a", "osijek-a")) {
            rig.new Worker("i-" + zone, "orders", "v1", 60).register(zone);
        }
        Rig.Instance instance = rig.start("front-zagreb-a-1", "zagreb-a");
        rig.awaitReady();
        Thread.sleep(3_000);
        String path = "/lookup/" + (rig.trouble ? "/" : "a").repeat(PATH_BYTES);
        AtomicBoolean open = new AtomicBoolean(true);
        AtomicLong lookups = new AtomicLong();
        for (int i = 0; i < LONG_PATH_CLIENTS; i++) {
            Http.thread(() -> lookups(rig, instance, path, open, lookups));
        }
        Thread.sleep(1_000);
        List<Rig.Call> calls = new CopyOnWriteArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            threads.add(Http.thread(() -> calls.add(
                    rig.call(instance, "POST", "/dispatch/kit", "", Http.bytes("one kit"), BUDGET_MILLIS))));
            Thread.sleep(100);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        open.set(false);
        // CONFIG: of the requests that last longer than the timeout, eight or more and over a quarter have no final
        // answer half a second after it.
        long longer = calls.stream().filter(call -> call.millis() > TIMEOUT_MILLIS).count();
        long late = calls.stream()
                .filter(call -> call.millis() > TIMEOUT_MILLIS + 500)
                .count();
        rig.note("judge", lookups + " lookups with a path of " + path.length() + " bytes were answered meanwhile");
        rig.note("judge", calls.size() + " dispatches, " + longer + " lasted longer than " + TIMEOUT_MILLIS + " ms, " + late
                + " of them had no final answer 500 ms later");
        return late < 8 || 4 * late <= longer;
    }

    /** Sends one lookup after the other on a kept channel, each after the answer to the one before. */
    private static void lookups(Rig rig, Rig.Instance instance, String path, AtomicBoolean open, AtomicLong answered)
            throws Exception {
        while (open.get()) {
            try (Socket channel = new Socket()) {
                channel.connect(new InetSocketAddress(Http.HOST, instance.callers), 1_000);
                channel.setSoTimeout(BUDGET_MILLIS);
                BufferedInputStream in = new BufferedInputStream(channel.getInputStream());
                while (open.get()) {
                    String head = "GET " + path + " HTTP/1.1\r\nHost: " + Rig.CLIENT_HOST + "\r\nBaobabcroft-Request-Id: "
                            + rig.newId() + "\r\nBaobabcroft-Deadline-Ms: " + BUDGET_MILLIS + "\r\nAuthorization: Bearer "
                            + Rig.KEY + "\r\n\r\n";
                    channel.getOutputStream().write(Http.bytes(head));
                    channel.getOutputStream().flush();
                    Http.Message answer = Http.read(in, true, "GET");
                    if (answer == null) {
                        break;
                    }
                    rig.note("lookup", "answer " + answer.status());
                    answered.incrementAndGet();
                }
            } catch (IOException failed) {
                if (open.get()) {
                    rig.note("lookup", String.valueOf(failed.getMessage()));
                }
                Thread.sleep(100);
            }
        }
    }
}
