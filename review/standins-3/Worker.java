import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;

/**
 * A worker (PROTOCOL.md) with one version of a service. It runs each request for some milliseconds and answers with 200,
 * or, if its version is bad, with its own 500 for a part of the requests. Both count as run.
 */
final class Worker implements AutoCloseable {
    private static final int KEEP_ALIVE_SECONDS = 20;

    /** Notified of each request that a worker has begun to run, and how it is going to answer. */
    interface Observer {
        void onRun(Worker worker, Http.Message request, int status);
    }

    final String id;
    final String service;
    final String zone;
    final String version;
    private final double failingShare;
    private final int workMillis;
    private final Observer observer;
    private final ServerSocket listener;
    private final Random random;
    private final long bornMillis = System.currentTimeMillis();
    private volatile boolean closed;

    Worker(String host, String id, String service, String zone, String version, double failingShare, int workMillis,
            Observer observer) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.version = version;
        this.failingShare = failingShare;
        this.workMillis = workMillis;
        this.observer = observer;
        this.random = new Random(id.hashCode());
        this.listener = new ServerSocket(0, 256, InetAddress.getByName(host));
        daemon(this::accept);
    }

    /** Returns the worker's entry in the store. */
    Map<String, Object> entry(String state) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", service);
        entry.put("addr", listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort());
        entry.put("zone", zone);
        entry.put("version", version);
        entry.put("slots", 6);
        entry.put("state", state);
        entry.put("warmup_left_ms", 0);
        entry.put("seq", 1);
        entry.put("born", bornMillis);
        return entry;
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = listener.accept();
                daemon(() -> serve(socket));
            } catch (IOException ended) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message request = Http.read(in, false); request != null && !closed;
                    request = Http.read(in, false)) {
                socket.getOutputStream().write(answer(request));
                socket.getOutputStream().flush();
            }
        } catch (IOException | InterruptedException ended) {
            // The connection is over.
        }
    }

    private byte[] answer(Http.Message request) throws InterruptedException {
        String requestId = request.header("Baobabcroft-Request-Id");
        String expected = request.header("Baobabcroft-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            return response(421, requestId, "Baobabcroft-Instance-Id: " + id + "\r\n", "");
        }
        boolean fails;
        synchronized (random) {
            fails = random.nextDouble() < failingShare;
        }
        int status = fails ? 500 : 200;
        observer.onRun(this, request, status);
        Thread.sleep(workMillis);
        return response(status, requestId, "Baobabcroft-Response-Stamp: " + id + "." + requestId + "\r\n",
                "answer of " + id + " to " + requestId);
    }

    private static byte[] response(int status, String requestId, String headers, String body) {
        String reason = status == 200 ? "OK" : status == 421 ? "Misdirected Request" : "Internal Server Error";
        String text = "HTTP/1.1 " + status + " " + reason + "\r\nBaobabcroft-Request-Id: " + requestId + "\r\n"
                + headers + "Keep-Alive: timeout=" + KEEP_ALIVE_SECONDS + "\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
    }
}
