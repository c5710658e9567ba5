package baobabcroft.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.endpoint.EndpointResult.Kind;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class GatewayServerTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static ActorSystem<Void> system;

    private final GatewayFixture gateway = new GatewayFixture(system);

    @BeforeAll
    static void start() {
        system = ActorSystem.create(Behaviors.empty(), "test");
    }

    @AfterAll
    static void stop() {
        system.terminate();
    }

    private static String body(HttpResponse response) {
        return ((HttpEntity.Strict) response.entity()).getData().utf8String();
    }

    private static void assertRejected(int status, String code, String execution, HttpResponse response) {
        JsonNode problem;
        try {
            problem = JSON.readTree(body(response));
        } catch (JsonProcessingException notJson) {
            throw new AssertionError(notJson);
        }
        assertEquals(
                status + " " + code + " " + execution,
                response.status().intValue() + " " + problem.path("code").asText() + " "
                        + problem.path("execution").asText());
    }

    @Nested
    final class InvalidRequest {
        @Test
        void withUnknownAccountKeyIsRejected() {
            assertRejected(401, "unknown_account", "not_run", gateway.send(gateway.chatRequest("no-key", "film")));
        }

        @Test
        void withMalformedJsonIsRejected() {
            HttpRequest request =
                    gateway.chatRequest("shop-key", "film").withEntity(ContentTypes.APPLICATION_JSON, "{");
            assertRejected(400, "malformed_body", "not_run", gateway.send(request));
        }

        @Test
        void withUnsupportedMediaTypeIsRejected() {
            HttpRequest request =
                    gateway.chatRequest("shop-key", "film").withEntity(ContentTypes.TEXT_PLAIN_UTF8, "{}");
            assertRejected(415, "unsupported_media_type", "not_run", gateway.send(request));
        }

        @Test
        void withOversizedBodyIsRejected() {
            HttpRequest request = gateway.chatRequest("shop-key", "film")
                    .withEntity(ContentTypes.APPLICATION_JSON, "x".repeat(10_001));
            assertRejected(413, "body_too_large", "not_run", gateway.send(request));
        }

        @Test
        void withInvalidDeadlineIsRejected() {
            for (String deadline : new String[] {"-1", "0", "soon", "99999999999999999999"}) {
                HttpRequest request = gateway.chatRequest("shop-key", "film")
                        .addHeader(GatewayFixture.header(Headers.DEADLINE_MILLIS, deadline));
                assertRejected(400, "bad_deadline", "not_run", gateway.send(request));
            }
        }

        @Test
        void isNotSentToAnEndpointAndIsCounted() {
            gateway.send(gateway.chatRequest("no-key", "film"));

            assertTrue(gateway.sentCalls.isEmpty());
            assertTrue(gateway.metrics.expose().contains("refusal_unknown_account_not_run 1.0"));
        }
    }

    @Nested
    final class EndpointPause {
        private int portOfLastCall() {
            return gateway.sentCalls.get(gateway.sentCalls.size() - 1).address().getPort();
        }

        private HttpResponse sendChat(int deadlineMillis) {
            return gateway.send(gateway.chatRequest("shop-key", "film")
                    .addHeader(GatewayFixture.header(Headers.DEADLINE_MILLIS, Integer.toString(deadlineMillis))));
        }

        private void pauseBoth(String seconds) {
            for (int i = 0; i < 2; i++) {
                gateway.scriptPause(429, seconds);
                sendChat(10_000);
            }
            assertEquals(2, gateway.sentCalls.size());
        }

        @ParameterizedTest
        @ValueSource(ints = {503, 429})
        void keepsRequestsAwayForThatTime(int status) {
            gateway.scriptPause(status, "2");
            gateway.scriptCompletion(GatewayFixture.VERSION);
            sendChat(10_000);
            gateway.scriptedResults.clear();
            int paused = gateway.sentCalls.get(0).address().getPort();
            for (int i = 0; i < 4; i++) {
                gateway.scriptCompletion(GatewayFixture.VERSION);
                sendChat(10_000);
                assertNotEquals(paused, portOfLastCall());
            }
            gateway.time.advance(2_500);
            Set<Integer> ports = new HashSet<>();
            for (int i = 0; i < 2; i++) {
                gateway.scriptCompletion(GatewayFixture.VERSION);
                sendChat(10_000);
                ports.add(portOfLastCall());
            }

            assertTrue(ports.contains(paused));
        }

        @Test
        void isAwaitedByCallersWithTime() {
            pauseBoth("1.5");
            gateway.scriptCompletion(GatewayFixture.VERSION);

            assertEquals(200, sendChat(5_000).status().intValue());
        }

        @Test
        void refusesCallersWithoutTimeAtOnce() {
            pauseBoth("3");
            long before = gateway.time.nowMillis();
            HttpResponse response = sendChat(2_000);

            assertRejected(503, "pool_exhausted", "not_run", response);
            assertTrue(gateway.time.nowMillis() - before < 200, "held until the deadline");
            String retryAfter =
                    response.getHeader(Headers.RETRY_AFTER).orElseThrow().value();
            assertTrue(Set.of("3", "4").contains(retryAfter), "retry after " + retryAfter);
        }

        @ParameterizedTest
        @ValueSource(strings = {"-1", "soon", "Fri, 04 Dec 2026 18:00:00 GMT", "1e3", ""})
        void isIgnoredIfItIsNoNumberOfSeconds(String value) {
            pauseBoth(value);
            gateway.scriptCompletion(GatewayFixture.VERSION);

            assertEquals(200, sendChat(300).status().intValue());
        }

        @Test
        void isNoLongerThanTheOperatorAllows() {
            pauseBoth("86400");
            gateway.time.advance(GatewayFixture.MAX_PAUSE_MILLIS + 2_000);
            gateway.scriptCompletion(GatewayFixture.VERSION);

            assertEquals(200, sendChat(300).status().intValue());
        }

        @Test
        void isNoFailureOfTheEndpoint() {
            for (int i = 0; i < 10; i++) {
                gateway.scriptPause(503, "0");
                sendChat(10_000);
            }
            gateway.scriptCompletion(GatewayFixture.VERSION);

            assertEquals(200, sendChat(300).status().intValue());
        }
    }

    @Nested
    final class ChatRequest {
        @Test
        void isAnsweredAndChargedOnce() {
            gateway.scriptCompletion(GatewayFixture.VERSION);

            HttpResponse response = gateway.send(gateway.chatRequest("shop-key", "film"));

            assertEquals(200, response.status().intValue());
            assertEquals(
                    GatewayFixture.VERSION,
                    response.getHeader(Headers.VERSION).get().value());
            assertEquals(1, gateway.recordedCharges.size());
            assertEquals(2_000, gateway.recordedCharges.get(0).amountMicros());
        }

        @Test
        void forModelNotAllowedToAccountIsRejected() {
            assertRejected(403, "not_allowed", "not_run", gateway.send(gateway.chatRequest("guest-key", "film")));
        }

        @Test
        void answeredByAnotherVersionIsNeitherRelayedNorCharged() {
            gateway.scriptCompletion("film@2");

            HttpResponse response = gateway.send(gateway.chatRequest("shop-key", "film"));

            assertRejected(502, "endpoint_answer_invalid", "may_have_run", response);
            assertTrue(gateway.recordedCharges.isEmpty());
        }

        @Test
        void isRetriedOnAnotherEndpointAfterLostConnection() {
            for (int warmUp = 0; warmUp < 10; warmUp++) {
                gateway.scriptCompletion(GatewayFixture.VERSION);
                gateway.send(gateway.chatRequest("shop-key", "film"));
            }
            gateway.sentCalls.clear();
            gateway.scriptFailure(Kind.CONNECTION_LOST);
            gateway.scriptCompletion(GatewayFixture.VERSION);

            HttpResponse response = gateway.send(gateway.chatRequest("shop-key", "film"));

            assertEquals(200, response.status().intValue(), () -> body(response));
            assertEquals(2, gateway.sentCalls.size());
            assertTrue(!gateway.sentCalls
                    .get(0)
                    .address()
                    .equals(gateway.sentCalls.get(1).address()));
        }

        @Test
        void thatFailedOnEveryEndpointFailsWithoutWaiting() {
            for (int warmUp = 0; warmUp < 25; warmUp++) {
                gateway.scriptCompletion(GatewayFixture.VERSION);
                gateway.send(gateway.chatRequest("shop-key", "film"));
            }
            long startMillis = gateway.time.nowMillis();
            gateway.scriptFailure(Kind.CONNECTION_LOST);
            gateway.scriptFailure(Kind.CONNECTION_LOST);

            HttpResponse rejection = gateway.send(gateway.chatRequest("shop-key", "film"));

            assertEquals(503, rejection.status().intValue(), () -> body(rejection));
            assertTrue(body(rejection).contains("may_have_run"), () -> body(rejection));
            assertTrue(gateway.time.nowMillis() - startMillis < 2_000);
        }

        @Test
        void isAdmittedToIdlePoolAfterSlowResponse() {
            gateway.scriptSlowCompletion(9_000, 1);
            gateway.send(gateway.chatRequest("shop-key", "film"));
            gateway.scriptCompletion(GatewayFixture.VERSION);

            HttpResponse response =
                    gateway.send(gateway.chatRequest("shop-key", "film\",\"max_tokens\":4,\"user\":\"u"));

            assertEquals(200, response.status().intValue(), () -> body(response));
        }

        @Test
        void forWithdrawnVersionIsRejectedAndNotSent() {
            gateway.applyRules(2, "withdrawn");

            assertRejected(410, "version_withdrawn", "not_run", gateway.send(gateway.chatRequest("shop-key", "film")));
            assertRejected(
                    410, "version_withdrawn", "not_run", gateway.send(gateway.chatRequest("shop-key", "film@1")));
            assertTrue(gateway.sentCalls.isEmpty());
        }

        @Test
        void isNotSentIfVersionIsWithdrawnBeforeSend() {
            int[] lookups = {0};
            gateway.beforeEachRulesLookup = () -> {
                if (++lookups[0] == 4) {
                    gateway.applyRules(2, "withdrawn");
                }
            };

            assertRejected(410, "version_withdrawn", "not_run", gateway.send(gateway.chatRequest("shop-key", "film")));
            assertTrue(lookups[0] >= 4);
            assertTrue(gateway.sentCalls.isEmpty());
        }

        @Test
        void isNotSentIfConfigurationBecomesStaleBeforeSend() {
            int[] lookups = {0};
            gateway.beforeEachRulesLookup = () -> {
                if (++lookups[0] == 4) {
                    gateway.currentRules = Optional.empty();
                }
            };

            assertRejected(503, "config_stale", "not_run", gateway.send(gateway.chatRequest("shop-key", "film")));
            assertTrue(gateway.sentCalls.isEmpty());
        }
    }

    @Nested
    final class NonIdempotentOperation {
        @Test
        void withoutIdempotencyKeyIsRejected() {
            HttpRequest request = gateway.orderRequest("k", "{}").removeHeader("Idempotency-Key");
            assertRejected(400, "idempotency_key_required", "not_run", gateway.send(request));
        }

        @Test
        void sentTwiceRunsOnceAndReturnsTheSameResponse() {
            gateway.scriptResponse(200, "{\"parcel\":1}");

            assertEquals("{\"parcel\":1}", body(gateway.send(gateway.orderRequest("k", "{}"))));
            assertEquals("{\"parcel\":1}", body(gateway.send(gateway.orderRequest("k", "{}"))));
            assertEquals(1, gateway.sentCalls.size());
        }

        @Test
        void withKeyOfDifferentBodyIsRejected() {
            gateway.scriptResponse(200, "{}");
            gateway.send(gateway.orderRequest("k", "{}"));

            assertRejected(422, "key_reused", "not_run", gateway.send(gateway.orderRequest("k", "{\"n\":2}")));
        }

        @Test
        void isNotRetriedAfterLostConnection() {
            gateway.scriptFailure(Kind.CONNECTION_LOST);

            assertRejected(502, "endpoint_failed", "may_have_run", gateway.send(gateway.orderRequest("k", "{}")));
            assertRejected(409, "outcome_unknown", "may_have_run", gateway.send(gateway.orderRequest("k", "{}")));
            assertEquals(1, gateway.sentCalls.size());
        }

        @Test
        void isNotRetriedAfterServerError() {
            gateway.scriptResponse(500, "{}");

            assertRejected(502, "endpoint_failed", "may_have_run", gateway.send(gateway.orderRequest("k", "{}")));
            assertEquals(1, gateway.sentCalls.size());
        }

        @Test
        void isRetriedOnAnotherEndpointAfterRefusedConnection() {
            gateway.scriptFailure(Kind.NOT_CONNECTED);
            gateway.scriptResponse(200, "{}");

            assertEquals(
                    200, gateway.send(gateway.orderRequest("k", "{}")).status().intValue());
            assertEquals(2, gateway.sentCalls.size());
        }

        @Test
        void thatReachedNoEndpointMayBeSentAgainWithSameKey() {
            for (int i = 0; i < 5; i++) {
                gateway.scriptFailure(Kind.NOT_CONNECTED);
            }
            HttpResponse rejection = gateway.send(gateway.orderRequest("k", "{}"));
            assertTrue(body(rejection).contains("\"execution\":\"not_run\""), body(rejection));

            gateway.scriptedResults.clear();
            gateway.scriptResponse(200, "{}");
            gateway.time.advance(120_000);
            assertEquals(
                    200, gateway.send(gateway.orderRequest("k", "{}")).status().intValue());
        }

        @Test
        void isRejectedWithoutRunningWhileStoreIsUnavailable() {
            gateway.store.setDown(true);

            HttpResponse rejection = gateway.send(gateway.orderRequest("k", "{}"));

            assertRejected(503, "claim_unavailable", "not_run", rejection);
            assertTrue(rejection.getHeader("Retry-After").isPresent());
            assertTrue(gateway.sentCalls.isEmpty());
        }
    }

    @Nested
    final class Shutdown {
        @Test
        void rejectsNewRequestsWithoutRunningThem() {
            gateway.inFlightLimiter.close();

            assertRejected(503, "draining", "not_run", gateway.send(gateway.chatRequest("shop-key", "film")));
        }

        @Test
        void failsReadinessProbeBeforeRejectingRequests() {
            gateway.inFlightLimiter.announceClose();
            gateway.scriptCompletion(GatewayFixture.VERSION);

            assertEquals(503, gateway.send(HttpRequest.GET("/readyz")).status().intValue());
            assertEquals(
                    200,
                    gateway.send(gateway.chatRequest("shop-key", "film"))
                            .status()
                            .intValue());
        }
    }
}
