package baobabcroft.relay;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StatusLineScannerTest {
    private final StatusLineScanner scanner = new StatusLineScanner();

    private void scan(String text) {
        for (byte next : text.getBytes(StandardCharsets.US_ASCII)) {
            scanner.scan(next);
        }
    }

    private boolean advance(String text) {
        boolean matched = true;
        for (byte next : text.getBytes(StandardCharsets.US_ASCII)) {
            matched &= scanner.advance(next);
        }
        return matched;
    }

    @Nested
    class StatusLines {
        @ParameterizedTest
        @ValueSource(strings = {"HTTP/1.1 200", "HTTP/1.0 503 Service Unavailable\r\n", "textHTTP/1.1 404"})
        void areFound(String text) {
            scan(text);
            assertTrue(scanner.isFound());
        }

        @ParameterizedTest
        @ValueSource(strings = {"HHTTP/1.1 200", "HTTP/1.HTTP/1.1 200", "HTTP/1.1 20HTTP/1.1 200"})
        void areFoundBehindTheBeginningOfAnother(String text) {
            scan(text);
            assertTrue(scanner.isFound());
        }

        @ParameterizedTest
        @ValueSource(strings = {"HTTP/2.0 200", "HTTP/1.2 200", "HTTP/1.1  200", "http/1.1 200", "HTTP/1.1 2x0"})
        void areNotFoundInOtherText(String text) {
            scan(text);
            assertFalse(scanner.isFound());
        }

        @Test
        void areForgottenAfterAReset() {
            scan("HTTP/1.1 200");
            scanner.reset();
            assertFalse(scanner.isFoundOrBegun());
        }
    }

    @Nested
    class Beginnings {
        @Test
        void areToldFromOtherText() {
            scan("served over HTTP");
            assertTrue(scanner.isFoundOrBegun());
            scan(".");
            assertFalse(scanner.isFoundOrBegun());
        }

        @Test
        void areOnlyContinuedByTheRestOfAStatusLine() {
            scan("text HTTP/1.");
            assertTrue(advance("1 200 OK"));
            assertTrue(scanner.isFound());
        }

        // Guards against a whole body that ends like a status line, taken for one that is joined with the next
        // response.
        @Test
        void areNotContinuedByAStatusLineOfItsOwn() {
            scan("text H");
            assertFalse(advance("HTTP/1.1 200 OK"));
        }
    }
}
