package baobabcroft.relay;

import com.google.common.base.Ascii;
import com.google.common.base.CharMatcher;
import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.Bytes;
import com.google.common.primitives.Ints;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Finds out whether bytes end with other responses. An endpoint that parses unexpected bytes as further requests
 * answers these, too, and where nothing marks the end of a body, those answers look like a part of it.
 *
 * <p>Text that quotes the head of a response is distinguished by what follows it: a response is followed by nothing, or
 * by another response. The time grows with the number of the bytes only. Not thread-safe.
 */
final class TrailingResponses {
    private static final byte[] PROTOCOL = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    private static final String CONTENT_LENGTH = "Content-Length";
    private static final int LINE_END_BYTES = 2;
    /** Characters of the names of headers. */
    private static final CharMatcher FIELD_NAME = CharMatcher.inRange('!', '~').precomputed();
    /** Fields of events, whose values may quote a status line. A comment has an empty name. */
    private static final ImmutableSet<String> EVENT_FIELDS = ImmutableSet.of("", "data", "event", "id", "retry");

    private final byte[] bytes;
    private final StatusLineScanner scanner = new StatusLineScanner();
    private int position;

    private TrailingResponses(byte[] bytes) {
        this.bytes = bytes;
    }

    /** Returns whether the bytes, from some status line on, are responses only; the last one may be incomplete. */
    static boolean follow(byte[] bytes) {
        return Bytes.indexOf(bytes, PROTOCOL) >= 0 && new TrailingResponses(bytes).areFound();
    }

    private boolean areFound() {
        while (findStatus()) {
            if (areResponsesOnly()) {
                return true;
            }
        }
        return false;
    }

    /** Moves behind the next status; returns false if there is none. */
    private boolean findStatus() {
        scanner.reset();
        while (position < bytes.length) {
            position++;
            if (scanner.scan(bytes[position - 1])) {
                return true;
            }
        }
        return false;
    }

    /** Moves from behind a status as far as the bytes are responses; returns whether they are to the end. */
    private boolean areResponsesOnly() {
        int responses = 0;
        do {
            OptionalInt bodyBytes = skipHead();
            if (bodyBytes.isEmpty()) {
                return responses > 0 && position == bytes.length;
            }
            responses++;
            position += Math.min(bytes.length - position, bodyBytes.getAsInt());
        } while (skipStatus());
        return position == bytes.length;
    }

    /** Moves behind a status if the next bytes are one, or the beginning of one; returns whether it is complete. */
    private boolean skipStatus() {
        scanner.reset();
        while (position < bytes.length && !scanner.isFound() && scanner.advance(bytes[position])) {
            position++;
        }
        return scanner.isFound();
    }

    /** Moves from behind a status to the body, and returns its length; empty if there is no complete head. */
    private OptionalInt skipHead() {
        int bodyBytes = 0;
        int headers = 0;
        Optional<String> line = nextLine();
        if (line.isPresent()) {
            skip(line.get());
            line = nextLine();
        }
        while (line.isPresent() && isHeader(line.get())) {
            OptionalInt stated = statedBodyBytes(line.get());
            bodyBytes = stated.orElse(bodyBytes);
            headers++;
            skip(line.get());
            line = nextLine();
        }
        if (headers == 0 || line.filter(String::isEmpty).isEmpty()) {
            return OptionalInt.empty();
        }
        skip(line.get());
        return OptionalInt.of(bodyBytes);
    }

    /** Returns the line that begins at the position, without its end. Skips the line if it does not end in CR LF. */
    private Optional<String> nextLine() {
        int end = position;
        while (end < bytes.length && bytes[end] != '\n') {
            end++;
        }
        boolean complete = end < bytes.length && end > position && bytes[end - 1] == '\r';
        if (!complete) {
            position = Math.min(bytes.length, end + 1);
            return Optional.empty();
        }
        return Optional.of(new String(bytes, position, end - 1 - position, StandardCharsets.ISO_8859_1));
    }

    private void skip(String line) {
        position += line.length() + LINE_END_BYTES;
    }

    private static boolean isHeader(String line) {
        int colon = line.indexOf(':');
        return colon >= 0
                && !EVENT_FIELDS.contains(line.substring(0, colon))
                && FIELD_NAME.matchesAllOf(line.substring(0, colon));
    }

    private static OptionalInt statedBodyBytes(String header) {
        int colon = header.indexOf(':');
        Integer bytes = Ascii.equalsIgnoreCase(header.substring(0, colon), CONTENT_LENGTH)
                ? Ints.tryParse(header.substring(colon + 1).strip())
                : null;
        return bytes == null || bytes < 0 ? OptionalInt.empty() : OptionalInt.of(bytes);
    }
}
