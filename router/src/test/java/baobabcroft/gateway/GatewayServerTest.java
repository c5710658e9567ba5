package baobabcroft.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.endpoint.EndpointResult.Kind;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;
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

    private static void assertRefused(int status, String code, String execution, HttpResponse response) {
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
    final class BadInput {
        @Test
        void ofAnUnknownKeyIsRefused() {
            assertRefused(401, "unknown_account", "not_run", gateway.call(gateway.chat("no-key", "film")));
        }

        @Test
        void withoutJsonIsRefused() {
            HttpRequest request = gateway.chat("shop-key", "film").withEntity(ContentTypes.APPLICATION_JSON, "{");
            assertRefused(400, "malformed_body", "not_run", gateway.call(request));
        }

        @Test
        void ofAnotherTypeIsRefused() {
            HttpRequest request = gateway.chat("shop-key", "film").withEntity(ContentTypes.TEXT_PLAIN_UTF8, "{}");
            assertRefused(415, "unsupported_media_type", "not_run", gateway.call(request));
        }

        @Test
        void overTheLimitIsRefused() {
            HttpRequest request =
                    gateway.chat("shop-key", "film").withEntity(ContentTypes.APPLICATION_JSON, "x".repeat(10_001));
            assertRefused(413, "body_too_large", "not_run", gateway.call(request));
        }

        @Test
        void withABadDeadlineIsRefused() {
            for (String deadline : new String[] {"-1", "0", "soon", "99999999999999999999"}) {
                HttpRequest request = gateway.chat("shop-key", "film")
                        .addHeader(GatewayFixture.header(Headers.DEADLINE_MILLIS, deadline));
                assertRefused(400, "bad_deadline", "not_run", gateway.call(request));
            }
        }

        @Test
        void neverReachesAnEndpointAndAlwaysHasACounter() {
            gateway.call(gateway.chat("no-key", "film"));

            assertTrue(gateway.sent.isEmpty());
            assertTrue(gateway.metrics.expose().contains("refusal_unknown_account_not_run 1.0"));
        }
    }

    @Nested
    final class Chat {
        @Test
        void isAnsweredAndChargedOnce() {
            gateway.answerChat(GatewayFixture.VERSION);

            HttpResponse response = gateway.call(gateway.chat("shop-key", "film"));

            assertEquals(200, response.status().intValue());
            assertEquals(
                    GatewayFixture.VERSION,
                    response.getHeader(Headers.VERSION).get().value());
            assertEquals(1, gateway.charges.size());
            assertEquals(2_000, gateway.charges.get(0).amountMicros());
        }

        @Test
        void thatTheAccountMayNotUseIsRefused() {
            assertRefused(403, "not_allowed", "not_run", gateway.call(gateway.chat("guest-key", "film")));
        }

        @Test
        void answeredByAnotherVersionIsNotPassedOnNorCharged() {
            gateway.answerChat("film@2");

            HttpResponse response = gateway.call(gateway.chat("shop-key", "film"));

            assertRefused(502, "endpoint_answer_invalid", "may_have_run", response);
            assertTrue(gateway.charges.isEmpty());
        }

        @Test
        void isSentToAnotherEndpointWhenAConnectionIsLost() {
            for (int filled = 0; filled < 10; filled++) {
                gateway.answerChat(GatewayFixture.VERSION);
                gateway.call(gateway.chat("shop-key", "film"));
            }
            gateway.sent.clear();
            gateway.fail(Kind.CONNECTION_LOST);
            gateway.answerChat(GatewayFixture.VERSION);

            HttpResponse response = gateway.call(gateway.chat("shop-key", "film"));

            assertEquals(200, response.status().intValue(), () -> body(response));
            assertEquals(2, gateway.sent.size());
            assertTrue(!gateway.sent.get(0).address().equals(gateway.sent.get(1).address()));
        }

        @Test
        void thatEveryEndpointFailedIsGivenUpAtOnceAndHoldsUpNoOther() {
            for (int filled = 0; filled < 25; filled++) {
                gateway.answerChat(GatewayFixture.VERSION);
                gateway.call(gateway.chat("shop-key", "film"));
            }
            long startMillis = gateway.time.nowMillis();
            gateway.fail(Kind.CONNECTION_LOST);
            gateway.fail(Kind.CONNECTION_LOST);

            HttpResponse refusal = gateway.call(gateway.chat("shop-key", "film"));

            assertEquals(503, refusal.status().intValue(), () -> body(refusal));
            assertTrue(body(refusal).contains("may_have_run"), () -> body(refusal));
            assertTrue(gateway.time.nowMillis() - startMillis < 2_000);
        }

        @Test
        void isTriedOnAnIdlePoolHoweverSlowTheLastAnswerWas() {
            gateway.answerSlowChat(9_000, 1);
            gateway.call(gateway.chat("shop-key", "film"));
            gateway.answerChat(GatewayFixture.VERSION);

            HttpResponse response = gateway.call(gateway.chat("shop-key", "film\",\"max_tokens\":4,\"user\":\"u"));

            assertEquals(200, response.status().intValue(), () -> body(response));
        }

        @Test
        void ofAWithdrawnVersionIsRefusedAndNotSent() {
            gateway.apply(2, "withdrawn");

            assertRefused(410, "version_withdrawn", "not_run", gateway.call(gateway.chat("shop-key", "film")));
            assertRefused(410, "version_withdrawn", "not_run", gateway.call(gateway.chat("shop-key", "film@1")));
            assertTrue(gateway.sent.isEmpty());
        }

        @Test
        void isNotSentWhenItsVersionIsWithdrawnBetweenChoiceAndSend() {
            int[] looks = {0};
            gateway.beforeEachLook = () -> {
                if (++looks[0] == 4) {
                    gateway.apply(2, "withdrawn");
                }
            };

            assertRefused(410, "version_withdrawn", "not_run", gateway.call(gateway.chat("shop-key", "film")));
            assertTrue(looks[0] >= 4);
            assertTrue(gateway.sent.isEmpty());
        }

        @Test
        void isNotSentWhenTheAuthorityIsLostBetweenChoiceAndSend() {
            int[] looks = {0};
            gateway.beforeEachLook = () -> {
                if (++looks[0] == 4) {
                    gateway.inForce = Optional.empty();
                }
            };

            assertRefused(503, "config_stale", "not_run", gateway.call(gateway.chat("shop-key", "film")));
            assertTrue(gateway.sent.isEmpty());
        }
    }

    @Nested
    final class NonIdempotentOperation {
        @Test
        void withoutAKeyIsRefused() {
            HttpRequest request = gateway.order("k", "{}").removeHeader("Idempotency-Key");
            assertRefused(400, "idempotency_key_required", "not_run", gateway.call(request));
        }

        @Test
        void sentTwiceRunsOnceAndGetsTheSameAnswer() {
            gateway.answer(200, "{\"parcel\":1}");

            assertEquals("{\"parcel\":1}", body(gateway.call(gateway.order("k", "{}"))));
            assertEquals("{\"parcel\":1}", body(gateway.call(gateway.order("k", "{}"))));
            assertEquals(1, gateway.sent.size());
        }

        @Test
        void withTheKeyOfAnotherBodyIsRefused() {
            gateway.answer(200, "{}");
            gateway.call(gateway.order("k", "{}"));

            assertRefused(422, "key_reused", "not_run", gateway.call(gateway.order("k", "{\"n\":2}")));
        }

        @Test
        void isNeverSentAgainAfterALostConnection() {
            gateway.fail(Kind.CONNECTION_LOST);

            assertRefused(502, "endpoint_failed", "may_have_run", gateway.call(gateway.order("k", "{}")));
            assertRefused(409, "outcome_unknown", "may_have_run", gateway.call(gateway.order("k", "{}")));
            assertEquals(1, gateway.sent.size());
        }

        @Test
        void isNeverSentAgainAfterAServerError() {
            gateway.answer(500, "{}");

            assertRefused(502, "endpoint_failed", "may_have_run", gateway.call(gateway.order("k", "{}")));
            assertEquals(1, gateway.sent.size());
        }

        @Test
        void isSentToAnotherEndpointWhenTheConnectionIsRefused() {
            gateway.fail(Kind.NOT_CONNECTED);
            gateway.answer(200, "{}");

            assertEquals(200, gateway.call(gateway.order("k", "{}")).status().intValue());
            assertEquals(2, gateway.sent.size());
        }

        @Test
        void thatNoEndpointTookMayBeSentAgainWithItsKey() {
            for (int i = 0; i < 5; i++) {
                gateway.fail(Kind.NOT_CONNECTED);
            }
            HttpResponse refusal = gateway.call(gateway.order("k", "{}"));
            assertTrue(body(refusal).contains("\"execution\":\"not_run\""), body(refusal));

            gateway.script.clear();
            gateway.answer(200, "{}");
            gateway.time.advance(120_000);
            assertEquals(200, gateway.call(gateway.order("k", "{}")).status().intValue());
        }

        @Test
        void isRefusedNotRunWhileTheStoreIsDown() {
            gateway.store.setDown(true);

            HttpResponse refusal = gateway.call(gateway.order("k", "{}"));

            assertRefused(503, "claim_unavailable", "not_run", refusal);
            assertTrue(refusal.getHeader("Retry-After").isPresent());
            assertTrue(gateway.sent.isEmpty());
        }
    }

    @Nested
    final class Stopping {
        @Test
        void refusesNewRequestsNotRun() {
            gateway.gate.close();

            assertRefused(503, "draining", "not_run", gateway.call(gateway.chat("shop-key", "film")));
        }

        @Test
        void failsTheReadinessProbeBeforeItRefuses() {
            gateway.gate.announceClose();
            gateway.answerChat(GatewayFixture.VERSION);

            assertEquals(503, gateway.call(HttpRequest.GET("/readyz")).status().intValue());
            assertEquals(
                    200, gateway.call(gateway.chat("shop-key", "film")).status().intValue());
        }
    }
}
