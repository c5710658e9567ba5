import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** HTTP/1.1 on plain sockets: one message at a time on a channel. */
final class Http {
    static final String HOST = "127.0.0.1";

    /** A request or a response as received. */
    static final class Message {
        String first = "";
        final List<String[]> headers = new ArrayList<>();
        byte[] body = {};
        /** Whether the body ended as its head says. */
        boolean whole;

        String header(String name) {
            for (String[] line : headers) {
                if (line[0].equalsIgnoreCase(name)) {
                    return line[1];
                }
            }
            return null;
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }
    }

    interface Handler {
        /** Answers one request; returns whether the channel stays open. */
        boolean handle(Message request, OutputStream out, Socket socket) throws Exception;
    }

    private Http() {}

    static ServerSocket bind(int port) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(HOST), port), 256);
        return server;
    }

    static void serve(ServerSocket server, Handler handler) {
        thread(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                thread(() -> {
                    try (socket) {
                        InputStream in = new BufferedInputStream(socket.getInputStream());
                        OutputStream out = socket.getOutputStream();
                        boolean open = true;
                        while (open) {
                            Message request = read(in, false, "");
                            open = request != null && handler.handle(request, out, socket);
                        }
                    }
                });
            }
        });
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread thread(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception ended) {
                // The channel or the stand-in has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                bytes.write(next);
            }
            next = in.read();
        }
        return next < 0 ? null : bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a message; returns null if the channel ends before its head is complete. */
    static Message read(InputStream in, boolean response, String requestMethod) throws IOException {
        Message message = new Message();
        String first = line(in);
        while (first != null && first.isEmpty()) {
            first = line(in);
        }
        if (first == null) {
            return null;
        }
        message.first = first;
        for (String line = line(in); ; line = line(in)) {
            if (line == null) {
                return null;
            }
            if (line.isEmpty()) {
                break;
            }
            int colon = line.indexOf(':');
            message.headers.add(new String[] {line.substring(0, colon), line.substring(colon + 1).strip()});
        }
        String length = message.header("Content-Length");
        boolean chunked = "chunked".equalsIgnoreCase(message.header("Transfer-Encoding"));
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (chunked) {
            message.whole = readChunks(in, body);
        } else if (length != null) {
            byte[] bytes = in.readNBytes(Integer.parseInt(length));
            body.write(bytes);
            message.whole = bytes.length == Integer.parseInt(length);
        } else if (response) {
            body.write(in.readAllBytes());
            message.whole = true;
        } else {
            message.whole = true;
        }
        message.body = body.toByteArray();
        return message;
    }

    private static boolean readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = line(in);
            if (size == null) {
                return false;
            }
            int bytes = Integer.parseInt(size.split(";")[0].strip(), 16);
            byte[] chunk = in.readNBytes(bytes);
            body.write(chunk);
            if (chunk.length < bytes || line(in) == null) {
                return false;
            }
            if (bytes == 0) {
                return true;
            }
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Writes a response with a length. */
    static void respond(OutputStream out, int status, String headers, byte[] body) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(bytes("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n"));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }
}
