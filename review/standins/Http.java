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
    private static final int MAX_HEAD_BYTES = 65_536;

    private Http() {}

    /** The head of a request or a response. */
    record Head(String firstLine, Map<String, String> headers) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }
    }

    /** Returns the next head, or null at the end of the stream. */
    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(in); !"".equals(line); line = readLine(in)) {
            if (line == null) {
                throw new EOFException("end within a head");
            }
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return new Head(first, headers);
    }

    /** Reads a body by length or in chunks; throws an EOFException if it ends early. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (head.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new EOFException("end within chunks after " + body.size() + " bytes");
                }
                int length = Integer.parseInt(size.strip(), 16);
                copy(in, body, length);
                readLine(in);
                if (length == 0) {
                    return body.toByteArray();
                }
            }
        }
        String length = head.header("Content-Length");
        copy(in, body, length.isEmpty() ? 0 : Integer.parseInt(length));
        return body.toByteArray();
    }

    /** Reads a body by length and drops it; returns its length. */
    static long skipBody(InputStream in, Head head) throws IOException {
        long length = Long.parseLong(head.header("Content-Length"));
        byte[] buffer = new byte[65_536];
        for (long left = length; left > 0; ) {
            int count = in.read(buffer, 0, (int) Math.min(left, buffer.length));
            if (count < 0) {
                throw new EOFException("end within a body");
            }
            left -= count;
        }
        return length;
    }

    private static void copy(InputStream in, ByteArrayOutputStream body, int length) throws IOException {
        byte[] buffer = new byte[8_192];
        int left = length;
        while (left > 0) {
            int count = in.read(buffer, 0, Math.min(left, buffer.length));
            if (count < 0) {
                throw new EOFException("end within a body after " + body.size() + " bytes");
            }
            body.write(buffer, 0, count);
            left -= count;
        }
    }

    static InputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 8_192);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("end within a line");
            }
            if (next != '\r') {
                line.write(next);
            }
            if (line.size() > MAX_HEAD_BYTES) {
                throw new IOException("line too long");
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
