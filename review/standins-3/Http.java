import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {
    /**
     * A message.
     *
     * @param startLine the request line or the status line
     * @param headers the headers by name in lower case
     * @param body the whole body
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    private Http() {}

    /** Returns the next message; null at the end of the connection. A response may end with the connection. */
    static Message read(BufferedInputStream in, boolean response) throws IOException {
        String startLine = line(in);
        if (startLine == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = required(in); !line.isEmpty(); line = required(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        return new Message(startLine, headers, body(in, headers, response));
    }

    private static byte[] body(InputStream in, Map<String, String> headers, boolean response) throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            return chunks(in);
        }
        String length = headers.get("content-length");
        if (length != null) {
            return exactly(in, Integer.parseInt(length));
        }
        return response ? in.readAllBytes() : new byte[0];
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(required(in).split(";")[0].strip(), 16);
            body.write(exactly(in, size));
            String end = required(in);
            if (size == 0) {
                while (!end.isEmpty()) {
                    end = required(in);
                }
                return body.toByteArray();
            }
        }
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("body ends early");
        }
        return bytes;
    }

    private static String required(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            throw new EOFException("message ends early");
        }
        return line;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
