import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker truncates one answer in fifty and sends a second one on the channel; clients get whole bodies or none. */
final class JoinCase {
    private static final int BUDGET_MILLIS = 2_500;
    private static final int REQUESTS = 200;
    private static final int ONE_IN = 50;
    /** Bytes that the truncated answer lacks. */
    private static final int LACKING_BYTES = 20;

    private JoinCase() {}

    public static void main(String[] args) {
        Rig.main(args[0], JoinCase::run);
    }

    private static boolean run(Rig rig) throws Exception {
        rig.configure(7);
        AtomicInteger answers = new AtomicInteger();
        for (String zone : List.of("zagreb-a", "split-a", "osijek-a")) {
            Rig.Worker worker = rig.new Worker("i-" + zone, "orders", "v1", 20);
            worker.behaviour = (self, request, body, out) -> {
                boolean spoil = rig.trouble && answers.incrementAndGet() % ONE_IN == 0;
                if (spoil) {
                    truncate(rig, self, request, body, out);
                }
                return spoil;
            };
            worker.register(zone);
        }
        Rig.Instance instance = rig.start("front-zagreb-a-1", "zagreb-a");
        rig.awaitReady();
        Thread.sleep(3_000);
        List<Rig.Call> calls = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            boolean lookup = i % 2 == 0;
            calls.add(
                    lookup
                            ? rig.call(instance, "GET", "/lookup/a" + i, "", new byte[0], BUDGET_MILLIS)
                            : rig.call(instance, "POST", "/dispatch/kit", "", Http.bytes("one kit"), BUDGET_MILLIS));
        }
        long wrong = calls.stream()
                .filter(call -> call.status == 200 && !Arrays.equals(call.body, Rig.bodyOf(call.id)))
                .peek(call -> rig.note("judge", call.id + " got a success with another body, which ends with "
                        + new String(call.body, call.body.length - 40, 40, java.nio.charset.StandardCharsets.US_ASCII)
                                .replace("\r\n", "\\r\\n")))
                .count();
        long served = calls.stream().filter(call -> call.status == 200).count();
        rig.note("judge", calls.size() + " requests, " + served + " successes, " + wrong + " with a wrong body");
        if (served < REQUESTS / 2) {
            throw new IllegalStateException("too few successes");
        }
        return wrong == 0;
    }

    private static void truncate(Rig rig, Rig.Worker worker, Http.Message request, byte[] body, OutputStream out)
            throws Exception {
        String requestId = request.header("Baobabcroft-Request-Id");
        String head = "HTTP/1.1 200 OK\r\n" + worker.headersOf(requestId) + "Content-Length: " + body.length + "\r\n\r\n";
        rig.note("trouble", worker.id + " truncates its answer to " + requestId + " and sends it again");
        out.write(Http.bytes(head));
        out.write(body, 0, body.length - LACKING_BYTES);
        out.write(Http.bytes(head));
        out.write(body);
    }
}
