package baobabcroft.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class AdminRoutesTest {
    private static final String RULES = "failure-domain a region=x # ann: first\n";
    private static final String OTHER_RULES = "failure-domain a region=y # ann: second\n";

    private final HttpClient client = HttpClient.newHttpClient();
    private AdminTestServer server;

    @BeforeEach
    void start() throws Exception {
        server = new AdminTestServer();
    }

    @AfterEach
    void stop() {
        server.close();
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(server.url().resolve(path))
                .header("Authorization", "Bearer " + AdminTestServer.KEY);
    }

    private HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private HttpResponse<String> get(String path) throws Exception {
        return send(request(path));
    }

    private HttpResponse<String> post(String path, String body) throws Exception {
        return send(request(path)
                .header("Content-Type", "application/json; charset=utf-8")
                .POST(BodyPublishers.ofString(body)));
    }

    private HttpResponse<String> apply(String rules, long baseNumber) throws Exception {
        return post("/admin/v1/rules", AdminJson.write(new ApplyRequest(rules, baseNumber, "why")));
    }

    private static Problem problem(HttpResponse<String> response) {
        assertEquals(Optional.of("application/problem+json"), response.headers().firstValue("Content-Type"));
        return AdminJson.read(response.body(), Problem.class);
    }

    @Nested
    final class Authentication {
        @ParameterizedTest
        @ValueSource(strings = {"Bearer wrong", "Basic YW5uLWtleQ==", "Bearer ", "ann-key"})
        void refusesOtherKeys(String authorization) throws Exception {
            HttpResponse<String> response =
                    send(HttpRequest.newBuilder(server.url().resolve("/admin/v1/status"))
                            .header("Authorization", authorization));
            assertEquals(401, response.statusCode());
            assertEquals("unknown_operator", problem(response).code());
        }

        @Test
        void recordsTheHolderOfTheKeyAsTheAuthor() throws Exception {
            apply(RULES, 0);
            ConfigDocument current = AdminJson.read(get("/admin/v1/rules").body(), ConfigDocument.class);
            assertEquals(new ConfigDocument(1, "c1", "ann", 1000, "why", RULES), current);
        }
    }

    @Nested
    final class Changes {
        @Test
        void answers200WhenAccepted() throws Exception {
            HttpResponse<String> response = apply(RULES, 0);
            assertEquals(200, response.statusCode());
            assertEquals(
                    new ApplyResponse(1, true, ImmutableList.of("i-1", "i-2"), ImmutableList.of()),
                    AdminJson.read(response.body(), ApplyResponse.class));
        }

        @Test
        void answers202WithTheMissingInstancesUntilAccepted() throws Exception {
            server.operations().setMissing("i-3");
            HttpResponse<String> response = apply(RULES, 0);
            assertEquals(202, response.statusCode());
            assertEquals(
                    ImmutableList.of("i-3"),
                    AdminJson.read(response.body(), ApplyResponse.class).missing());
        }

        @Test
        void showsTheLoserOfARaceTheDifference() throws Exception {
            apply(RULES, 0);
            apply(OTHER_RULES, 1);
            HttpResponse<String> response = apply(RULES, 1);
            assertEquals(409, response.statusCode());
            assertEquals(Optional.of(2L), problem(response).currentNumber());
            assertEquals(
                    ImmutableList.of("~ failure-domain a region=x->y comment=ann: first->ann: second # ann: second"),
                    problem(response).diff());
        }

        @Test
        void listsTheFaultsOfAnInvalidFile() throws Exception {
            HttpResponse<String> response = apply("failure-domian a region=x # ann: first", 0);
            assertEquals(422, response.statusCode());
            assertEquals(
                    Optional.of("failure-domain"),
                    problem(response).faults().get(0).nearest());
        }

        @Test
        void saysWhetherAChangeMayBeStoredWhenTheStoreIsOut() throws Exception {
            server.operations().setStoreUnavailable(true);
            HttpResponse<String> response = apply(RULES, 0);
            assertEquals(503, response.statusCode());
            assertEquals("may_have_run", problem(response).execution());
        }

        @Test
        void goesBackToAnEarlierConfiguration() throws Exception {
            apply(RULES, 0);
            apply(OTHER_RULES, 1);
            post("/admin/v1/rules/rollback", AdminJson.write(new RollbackRequest(1, 2)));
            assertTrue(get("/admin/v1/rules/history").body().startsWith("[{\"number\":3,"));
            assertEquals(
                    RULES,
                    AdminJson.read(get("/admin/v1/rules/history/3").body(), ConfigDocument.class)
                            .text());
        }
    }

    @Nested
    final class Refusals {
        @ParameterizedTest
        @CsvSource({
            "GET, /admin/v1/nothing, 404, not_found",
            "GET, /admin/v1/rules, 404, not_found",
            "GET, /admin/v1/rules/history/7, 404, not_found",
            "GET, /admin/v1/rules/history/x, 404, not_found",
            "GET, /admin/v1/drain, 405, method_not_allowed",
            "GET, /admin/v1/explain?account=a, 400, bad_request",
            "POST, /admin/v1/rules, 400, malformed_body"
        })
        void areProblemsWithACode(String method, String path, int status, String code) throws Exception {
            HttpResponse<String> response =
                    send(request(path).method(method, BodyPublishers.ofString("{\"text\": \"\"}")));
            assertEquals(status, response.statusCode());
            assertEquals(code, problem(response).code());
        }

        @Test
        void coverABodyBeyondTheLimit() throws Exception {
            HttpResponse<String> response = apply("#".repeat(5_000_000), 0);
            assertEquals(413, response.statusCode(), response.body());
            assertEquals("body_too_large", problem(response).code());
        }

        @Test
        void carryWhenToComeBack() throws Exception {
            server.operations().setStoreUnavailable(true);
            HttpResponse<String> response = get("/admin/v1/rules");
            assertEquals(503, response.statusCode());
            assertEquals(Optional.of("2"), response.headers().firstValue("Retry-After"));
        }
    }

    @Nested
    final class Questions {
        @Test
        void explainARequest() throws Exception {
            Explanation explanation = AdminJson.read(
                    get("/admin/v1/explain?account=a&target=film&session=s%201").body(), Explanation.class);
            assertEquals(Optional.of("film@1"), explanation.version());
            assertEquals(
                    new Explanation.Step("session", "s 1"), explanation.steps().get(0));
        }

        @Test
        void showTheStatus() throws Exception {
            StatusReport status = AdminJson.read(get("/admin/v1/status").body(), StatusReport.class);
            assertEquals(StatusReport.State.SERVING, status.state());
        }
    }
}
