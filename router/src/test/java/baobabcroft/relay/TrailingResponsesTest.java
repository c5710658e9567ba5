package baobabcroft.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TrailingResponsesTest {
    private static final String BAD_REQUEST = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";
    private static final String ERROR = "HTTP/1.0 500 Error\r\nServer: x\r\ncontent-length: 6\r\n\r\nfailed";

    private static boolean follow(String text) {
        return TrailingResponses.follow(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Nested
    class Responses {
        @ParameterizedTest
        @ValueSource(strings = {"", "body", "body\r\n", "quotes HTTP/1.1 404 Not Found\r\n\r\n", "HTTP/1."})
        void areFoundBehindABody(String body) {
            assertTrue(follow(body + BAD_REQUEST));
            assertTrue(follow(body + ERROR));
            assertTrue(follow(body + ERROR + BAD_REQUEST + ERROR));
        }

        /** The last response may break off at each byte, as soon as one is complete. */
        @Test
        void areFoundIfTheLastOneIsCut() {
            for (int cut = 0; cut < ERROR.length(); cut++) {
                assertTrue(follow("body" + BAD_REQUEST + ERROR.substring(0, cut)), "cut at " + cut);
            }
        }

        @Test
        void areFoundWithAnIncompleteBody() {
            assertTrue(follow("body" + ERROR.substring(0, ERROR.length() - 6)));
        }
    }

    /** Bodies and events that are whole, though they mention responses. */
    @Nested
    class Quotes {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "",
                    "the server said HTTP/1.1 404 Not Found",
                    "HTTP/1.1 404 Not Found\r\n\r\n",
                    "HTTP/1.1 400 Bad Request\nContent-Length: 0\n\n",
                    "HTTP/1.1 400 Bad Request\r\nno header\r\n\r\n",
                    "id: 2\r\ndata: HTTP/1.1 400 Bad Request\r\ndata: Content-Length: 0\r\n\r\n",
                    "data: HTTP/1.1 400 Bad Request\r\n: Content-Length: 0\r\n\r\n"
                })
        void areNotTakenForResponses(String text) {
            assertFalse(follow(text));
        }

        @Test
        void areToldByTheTextThatFollows() {
            assertFalse(follow("It sends\r\n" + BAD_REQUEST + "and closes the connection."));
            assertFalse(follow("It sends\r\n" + ERROR + BAD_REQUEST + ERROR + ", three responses."));
        }
    }

    @Nested
    class LongBodies {
        private static final int BYTES = 4 << 20;
        private static final long STALL_SECONDS = 60;

        // Guards against a process that stops for the time of a search that grows with the square of the body.
        @ParameterizedTest
        @ValueSource(
                strings = {
                    BAD_REQUEST,
                    "HTTP/1.1 400 Bad Request\r\n",
                    "Field: HTTP/1.1 400 Bad Request\r\n",
                    "HTTP/1.1 400 ",
                    "HTTP/1.1 400 x\r\nA: b\r\nC: d\r\n"
                })
        @Timeout(value = STALL_SECONDS, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
        void areSearchedInOnePass(String repeated) {
            String body = repeated.repeat(BYTES / repeated.length());

            assertEquals(repeated.equals(BAD_REQUEST), follow(body));
            assertFalse(follow(body + "\r\nend"));
            assertFalse(follow(body + "\nend"));
        }
    }
}
