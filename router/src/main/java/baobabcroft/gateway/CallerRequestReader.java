package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.ErrorCode;
import baobabcroft.common.RouterException;
import baobabcroft.rules.AccountRule;
import baobabcroft.rules.RuleSet;
import com.google.common.base.Ticker;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/** Reads the client account, idempotency key, session and deadline from the headers of a request. Thread-safe. */
final class CallerRequestReader {
    private static final String BEARER_PREFIX = "Bearer ";
    private static final int MAX_HEADER_CHARS = 256;
    private static final long MAX_DEADLINE_MILLIS = TimeUnit.HOURS.toMillis(1);

    private final Ticker ticker;
    private final InstantSource wallClock;
    private final Supplier<String> requestIds;
    private final long defaultDeadlineMillis;

    CallerRequestReader(
            Ticker ticker, InstantSource wallClock, Supplier<String> requestIds, long defaultDeadlineMillis) {
        this.ticker = checkNotNull(ticker);
        this.wallClock = checkNotNull(wallClock);
        this.requestIds = checkNotNull(requestIds);
        this.defaultDeadlineMillis = defaultDeadlineMillis;
    }

    /**
     * Reads the headers of a request.
     *
     * @throws RouterException with {@code unknown_account}, {@code bad_deadline} or {@code bad_request} if a header is
     *     missing or invalid
     */
    CallerRequest read(HttpRequest request, RuleSet rules) {
        AccountRule account = authenticate(request, rules);
        long deadlineMillis = header(request, Headers.DEADLINE_MILLIS)
                .map(CallerRequestReader::parseDeadline)
                .orElse(defaultDeadlineMillis);
        long nowNanos = ticker.read();
        return new CallerRequest(
                account,
                requestIds.get(),
                validatedHeader(request, Headers.IDEMPOTENCY_KEY),
                validatedHeader(request, Headers.SESSION),
                nowNanos,
                nowNanos + TimeUnit.MILLISECONDS.toNanos(deadlineMillis),
                wallClock.millis() + deadlineMillis);
    }

    private static AccountRule authenticate(HttpRequest request, RuleSet rules) {
        String key = header(request, "Authorization")
                .filter(value -> value.regionMatches(true, 0, BEARER_PREFIX, 0, BEARER_PREFIX.length()))
                .map(value -> value.substring(BEARER_PREFIX.length()).strip())
                .orElseThrow(() -> RouterException.notRun(
                        ErrorCode.UNKNOWN_ACCOUNT, "the account key must be sent as 'Authorization: Bearer <key>'"));
        String hash = Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
        return rules.accountByKeySha256(hash)
                .orElseThrow(() -> RouterException.notRun(
                        ErrorCode.UNKNOWN_ACCOUNT, "the key does not belong to any client account"));
    }

    private static Optional<String> validatedHeader(HttpRequest request, String header) {
        Optional<String> value = header(request, header);
        value.filter(text -> text.isBlank() || text.length() > MAX_HEADER_CHARS).ifPresent(text -> {
            throw RouterException.notRun(
                    ErrorCode.BAD_REQUEST,
                    "header " + header + " must have 1 to " + MAX_HEADER_CHARS + " characters, has " + text.length());
        });
        return value;
    }

    private static long parseDeadline(String text) {
        long millis;
        try {
            millis = Long.parseLong(text.strip());
        } catch (NumberFormatException notANumber) {
            throw badDeadline(text);
        }
        if (millis <= 0 || millis > MAX_DEADLINE_MILLIS) {
            throw badDeadline(text);
        }
        return millis;
    }

    private static RouterException badDeadline(String text) {
        return RouterException.notRun(
                ErrorCode.BAD_DEADLINE,
                "header " + Headers.DEADLINE_MILLIS + " must be an integer number of milliseconds from 1 to "
                        + MAX_DEADLINE_MILLIS + ", was '" + text + "'");
    }

    private static Optional<String> header(HttpRequest request, String name) {
        return request.getHeader(name).map(HttpHeader::value);
    }
}
