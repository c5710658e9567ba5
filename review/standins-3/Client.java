import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client with one kept channel to a node, which it opens again after a failure. */
final class Client {
    private static final int CONNECT_MILLIS = 1_000;

    private final String host;
    private final int port;
    private Socket socket;
    private BufferedInputStream in;

    Client(String host, int port) {
        this.host = host;
        this.port = port;
    }

    /** Sends a request and returns the answer; null if the channel ended without one. */
    Http.Message send(String method, String path, String headers, String body, int timeoutMillis) {
        try {
            if (socket == null) {
                socket = new Socket();
                socket.setTcpNoDelay(true);
                socket.connect(new InetSocketAddress(host, port), CONNECT_MILLIS);
                in = new BufferedInputStream(socket.getInputStream());
            }
            socket.setSoTimeout(timeoutMillis);
            String request = method + " " + path + " HTTP/1.1\r\n" + headers + "Content-Length: " + body.length()
                    + "\r\n\r\n" + body;
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            Http.Message answer = Http.read(in, true);
            if (answer == null || answer.header("Connection").equalsIgnoreCase("close")) {
                close();
            }
            return answer;
        } catch (IOException failed) {
            close();
            return null;
        }
    }

    private void close() {
        try {
            socket.close();
        } catch (IOException closed) {
            // It is closed.
        }
        socket = null;
    }
}
