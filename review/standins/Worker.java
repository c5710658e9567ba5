import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a worker: one request at a time on a channel, answers with the request's id and a stamp. */
final class Worker implements AutoCloseable {
    /** What a worker does with a request. */
    interface Behavior {
        void serve(Worker worker, Http.Head request, OutputStream out) throws Exception;
    }

    final String id;
    private final String service;
    private final String zone;
    private final int slots;
    private final String version;
    private final Behavior behavior;
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final long bornMillis = System.currentTimeMillis();

    Worker(String id, String service, String host, String zone, String version, int slots, Behavior behavior)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.version = version;
        this.slots = slots;
        this.behavior = behavior;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 128);
        Thread acceptor = new Thread(this::accept);
        acceptor.setDaemon(true);
        acceptor.start();
    }

    /** Writes the worker's entry to the store. */
    void register(Store store, String state) {
        store.put(
                "servers/" + id,
                "{\"service\":\"" + service + "\",\"addr\":\"" + address() + "\",\"zone\":\"" + zone
                        + "\",\"version\":\"" + version + "\",\"slots\":" + slots + ",\"state\":\"" + state
                        + "\",\"warmup_left_ms\":0,\"seq\":1,\"born\":" + bornMillis + "}");
    }

    String version() {
        return version;
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Returns how often a request has run here. */
    int runs(String requestId) {
        return runs.getOrDefault(requestId, new AtomicInteger()).get();
    }

    /** Notes that a request has begun to run. */
    void run(String requestId) {
        runs.computeIfAbsent(requestId, unused -> new AtomicInteger()).incrementAndGet();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Thread thread = new Thread(() -> serve(socket));
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException closed) {
            // The worker has ended.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = Http.buffered(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                readBody(in, head);
                if (!head.header("Baobabcroft-Expect-Instance").equals(id)) {
                    answer(out, head, "421 Misdirected Request", "Baobabcroft-Not-Executed: 1\r\n", new byte[0]);
                } else {
                    behavior.serve(this, head, out);
                }
            }
        } catch (Exception ended) {
            // The channel was closed by the other side, or by the behavior.
        } finally {
            sockets.remove(socket);
        }
    }

    private static void readBody(InputStream in, Http.Head head) throws IOException {
        if (head.header("Transfer-Encoding").isEmpty()
                && !head.header("Content-Length").isEmpty()) {
            Http.skipBody(in, head);
        } else {
            Http.readBody(in, head);
        }
    }

    /** Writes a whole response with the request's id and a stamp. */
    static void answer(OutputStream out, Http.Head request, String status, String headers, byte[] body)
            throws IOException {
        String head = "HTTP/1.1 " + status + "\r\nBaobabcroft-Request-Id: " + request.header("Baobabcroft-Request-Id")
                + "\r\nBaobabcroft-Response-Stamp: stamp-" + request.header("Baobabcroft-Request-Id") + "\r\n" + headers
                + "Content-Length: " + body.length + "\r\n\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] message = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, message, 0, headBytes.length);
        System.arraycopy(body, 0, message, headBytes.length, body.length);
        out.write(message);
        out.flush();
    }

    /** Ends as in a crash: no connection is accepted any more, and the open ones are reset. */
    void crash() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    boolean hasEnded() {
        return listener.isClosed();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
