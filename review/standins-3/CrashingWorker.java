import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A worker process whose streams end with their channel (RULES.md: "A worker's answer may have no length and end with
 * its channel") or, for comparison, have chunks. A request whose path contains "poison" ends the process while its
 * stream is on the way, after some whole events.
 *
 * <p>Arguments: host, port, id, framing ("close" or "chunks"). Prints a line for each request that it begins to run.
 */
public final class CrashingWorker {
    private static final int EVENTS = 8;
    private static final int EVENTS_BEFORE_CRASH = 3;
    private static final int EVENT_MILLIS = 30;

    private final String id;
    private final boolean chunks;

    private CrashingWorker(String id, boolean chunks) {
        this.id = id;
        this.chunks = chunks;
    }

    public static void main(String[] args) throws IOException {
        CrashingWorker worker = new CrashingWorker(args[2], args[3].equals("chunks"));
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName(args[0]), Integer.parseInt(args[1])), 256);
        new Thread(CrashingWorker::endWithParent).start();
        System.out.println("listening");
        while (true) {
            Socket socket = listener.accept();
            new Thread(() -> worker.serve(socket)).start();
        }
    }

    /** Ends the process when the one that started it has ended. */
    private static void endWithParent() {
        try {
            while (System.in.read() >= 0) {
                // Nothing is written to it.
            }
        } catch (IOException closed) {
            // The other end is gone.
        }
        Runtime.getRuntime().halt(0);
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Message request = Http.read(in, false);
            if (request != null) {
                answer(request, socket.getOutputStream());
            }
        } catch (IOException | InterruptedException ended) {
            // The connection is over.
        }
    }

    private void answer(Http.Message request, OutputStream out) throws IOException, InterruptedException {
        String requestId = request.header("Baobabcroft-Request-Id");
        if (!request.header("Baobabcroft-Expect-Instance").equals(id)) {
            write(out, "HTTP/1.1 421 Misdirected Request\r\nBaobabcroft-Request-Id: " + requestId
                    + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            return;
        }
        boolean poison = request.startLine().contains("poison");
        System.out.println("run " + requestId + " " + request.startLine());
        write(out, "HTTP/1.1 200 OK\r\nBaobabcroft-Request-Id: " + requestId + "\r\nBaobabcroft-Response-Stamp: " + id
                + "." + requestId + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
                + (chunks ? "Transfer-Encoding: chunked\r\n" : "") + "\r\n");
        String after = request.header("Last-Event-Id");
        for (int event = after.isEmpty() ? 1 : Integer.parseInt(after) + 1; event <= EVENTS; event++) {
            if (poison && event > EVENTS_BEFORE_CRASH) {
                Thread.sleep(2 * EVENT_MILLIS);
                Runtime.getRuntime().halt(1);
            }
            String text = "id: " + event + "\ndata: part " + event + "\n\n";
            write(out, chunks ? Integer.toHexString(text.length()) + "\r\n" + text + "\r\n" : text);
            Thread.sleep(EVENT_MILLIS);
        }
        if (chunks) {
            write(out, "0\r\n\r\n");
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
