package baobabcroft.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.billing.Bill;
import baobabcroft.slot.RecordKey;
import baobabcroft.slot.SlotLogSettings;
import baobabcroft.slot.SlotRecord;
import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ClaimServiceTest {
    private static final InstancePresence ALL_ALIVE = instance -> false;

    private final ClaimFleet fleet = new ClaimFleet(ClaimFleet.ONE_SLOT_SETTINGS);
    private final ClaimFleet.Instance first = fleet.start("first");
    private final ClaimFleet.Instance second = fleet.start("second");

    private ClaimResult claim(ClaimFleet.Instance instance, ClaimRequest request) {
        return fleet.after(3_000, instance.claims().claim(request));
    }

    @Nested
    class Tickets {
        @Test
        void permitOneSend() {
            ClaimTicket ticket = fleet.grant(first, fleet.request("k"));
            long nowEpochMillis = fleet.time.wallClock().millis();
            assertTrue(ticket.startSend(nowEpochMillis));
            assertFalse(ticket.startSend(nowEpochMillis));
        }

        @Test
        void permitNoSendAfterDeadline() {
            ClaimTicket ticket = fleet.grant(first, fleet.request("k"));
            assertFalse(ticket.startSend(ticket.request().deadlineEpochMillis()));
        }

        @Test
        void permitNoSendAfterWithdrawal() {
            ClaimTicket ticket = fleet.grant(first, fleet.request("k"));
            first.claims().settle(ticket, new Outcome.NotRun());
            assertFalse(ticket.startSend(fleet.time.wallClock().millis()));
        }
    }

    @Nested
    class RepeatedRequests {
        @Test
        void returnRecordedAnswerOnAnyInstance() {
            ClaimTicket ticket = fleet.grant(first, fleet.request("k"));
            assertEquals(
                    SettleResult.DURABLE, fleet.after(100, first.claims().settle(ticket, ClaimFleet.answer("done"))));
            ClaimResult.Recorded recorded =
                    assertInstanceOf(ClaimResult.Recorded.class, claim(second, fleet.request("k")));
            assertEquals("done", recorded.answer().body().toStringUtf8());
        }

        @Test
        void areRejectedIfBodyDiffers() {
            fleet.grant(first, fleet.request("k"));
            assertInstanceOf(ClaimResult.KeyReused.class, claim(second, fleet.request("k", "other", 10_000)));
        }

        @Test
        void reportThatLargeAnswerIsNotKept() {
            ClaimTicket ticket = fleet.grant(first, fleet.request("k"));
            fleet.after(100, first.claims().settle(ticket, ClaimFleet.answer("x".repeat(17_000))));
            assertInstanceOf(ClaimResult.AnswerNotKept.class, claim(second, fleet.request("k")));
        }

        @Test
        void reportUnknownOutcomeAfterDeadlineOfOpenClaim() {
            fleet.grant(first, fleet.request("k", "body", 1_000));
            fleet.time.advance(2_000);
            assertInstanceOf(ClaimResult.OutcomeUnknown.class, claim(second, fleet.request("k")));
        }

        @Test
        void areGrantedAfterWithdrawal() {
            ClaimTicket ticket = fleet.grant(first, fleet.request("k"));
            fleet.after(100, first.claims().settle(ticket, new Outcome.NotRun()));
            assertInstanceOf(ClaimResult.Granted.class, claim(second, fleet.request("k")));
        }
    }

    @Nested
    class AwaitingOutcome {
        @Test
        void completesWhenAnswerIsRecorded() {
            ClaimTicket ticket = fleet.grant(first, fleet.request("k"));
            CompletableFuture<ClaimResult> joined =
                    second.claims().awaitOutcome(fleet.request("k"), ALL_ALIVE).toCompletableFuture();
            fleet.time.advance(1_500);
            assertFalse(joined.isDone());
            first.claims().settle(ticket, ClaimFleet.answer("done"));
            fleet.time.advance(50);
            assertInstanceOf(ClaimResult.Recorded.class, ClaimFleet.now(joined));
        }

        @Test
        void completesImmediatelyIfClaimingInstanceHasTerminated() {
            fleet.grant(first, fleet.request("k"));
            ClaimResult result = fleet.after(100, second.claims().awaitOutcome(fleet.request("k"), "first"::equals));
            assertInstanceOf(ClaimResult.OutcomeUnknown.class, result);
        }

        @Test
        void completesAtOwnDeadline() {
            fleet.grant(first, fleet.request("k"));
            ClaimRequest shortDeadline = fleet.request("k", "body", 500);
            ClaimResult result = fleet.after(500, second.claims().awaitOutcome(shortDeadline, ALL_ALIVE));
            assertInstanceOf(ClaimResult.Running.class, result);
        }
    }

    @Nested
    class StoreOutages {
        @Test
        void refuseClaimsAtTimeoutAndThenImmediately() {
            fleet.store.setDown(true);
            claim(first, fleet.request("k"));
            assertFalse(first.claims().isAvailable());
            first.claims().claim(fleet.request("probe"));
            assertInstanceOf(
                    ClaimResult.Unavailable.class, ClaimFleet.now(first.claims().claim(fleet.request("l"))));
        }

        @Test
        void corruptRecordAffectsOnlyItsOwnRequest() {
            RecordKey key = ClaimRules.keyOf(fleet.request("k"));
            ByteString corrupt = ByteString.copyFromUtf8("no claim");
            CompletableFuture<Boolean> written = fleet.write(new SlotRecord(key, corrupt, 0, Long.MAX_VALUE));
            assertTrue(ClaimFleet.now(written));
            assertInstanceOf(ClaimResult.Unavailable.class, claim(first, fleet.request("k")));
            assertInstanceOf(ClaimResult.Granted.class, claim(first, fleet.request("l")));
        }

        @Test
        void grantClaimsAgainAfterOutage() {
            fleet.store.setDown(true);
            claim(first, fleet.request("k"));
            fleet.store.setDown(false);
            fleet.time.advance(2_000);
            assertInstanceOf(ClaimResult.Granted.class, claim(first, fleet.request("k")));
            assertTrue(first.claims().isAvailable());
        }

        @Test
        void leaveOutcomesPendingUntilStoreIsAvailable() {
            ClaimTicket ticket = fleet.grant(first, fleet.request("k"));
            fleet.store.setDown(true);
            assertEquals(
                    SettleResult.PENDING, fleet.after(2_000, first.claims().settle(ticket, ClaimFleet.answer("done"))));
            assertEquals(1, first.claims().unsettledCount());
            fleet.store.setDown(false);
            fleet.time.advance(2_000);
            assertEquals(0, first.claims().unsettledCount());
            assertInstanceOf(ClaimResult.Recorded.class, claim(second, fleet.request("k")));
        }
    }

    @Nested
    class LostReplies {
        @Test
        void areResolvedAsOwnClaim() {
            fleet.store.loseReplies(1);
            assertInstanceOf(ClaimResult.Granted.class, claim(first, fleet.request("k")));
            assertEquals(1, first.count("commit.unknown"));
        }

        @Test
        void withdrawClaimThatTimedOut() {
            fleet.store.setLatencyMillis(3_000);
            assertInstanceOf(ClaimResult.Unavailable.class, claim(first, fleet.request("k")));
            fleet.store.setLatencyMillis(2);
            fleet.time.advance(20_000);
            assertInstanceOf(ClaimResult.Granted.class, claim(second, fleet.request("k")));
        }

        @Test
        void lateWriteDoesNotOverwriteNewerClaim() {
            fleet.grant(first, fleet.request("a"));
            fleet.store.delayWrites(1, 1_200);
            CompletableFuture<ClaimResult> late =
                    first.claims().claim(fleet.request("k")).toCompletableFuture();
            fleet.time.advance(100);
            ClaimResult other = claim(second, fleet.request("k"));
            assertInstanceOf(ClaimResult.Granted.class, other);
            assertInstanceOf(ClaimResult.Running.class, ClaimFleet.now(late));
        }
    }

    @Nested
    class Bills {
        private ImmutableList<Bill> bills() {
            return fleet.after(1_000, second.claims().bills()).orElseThrow();
        }

        @Test
        void haveSameIdInClaimAndTicket() {
            ClaimTicket ticket = fleet.grant(first, fleet.request("k"));
            long nowEpochMillis = fleet.time.wallClock().millis();
            fleet.after(100, first.claims().settle(ticket, ClaimFleet.answer("done")));
            Bill held = ticket.bill(ClaimFleet.answer("done"), nowEpochMillis).orElseThrow();
            assertEquals(held.id(), bills().get(0).id());
            assertEquals(100, bills().get(0).amountMicros());
        }

        @Test
        void areNotCreatedForErrorAnswersAndWithdrawals() {
            ClaimTicket rejected = fleet.grant(first, fleet.request("k"));
            RecordedAnswer error = new RecordedAnswer(409, "text/plain", ByteString.EMPTY);
            fleet.after(100, first.claims().settle(rejected, new Outcome.Answered(error)));
            ClaimTicket withdrawn = fleet.grant(first, fleet.request("l"));
            fleet.after(100, first.claims().settle(withdrawn, new Outcome.NotRun()));
            assertTrue(bills().isEmpty());
        }

        @Test
        void chargeNothingForAnUnknownOutcome() {
            ClaimTicket ticket = fleet.grant(first, fleet.request("k"));
            fleet.after(100, first.claims().settle(ticket, new Outcome.Unknown()));
            assertEquals(Bill.Outcome.UNKNOWN, bills().get(0).outcome());
            assertEquals(0, bills().get(0).amountMicros());
        }
    }

    @Nested
    class Sealing {
        private final SlotLogSettings smallSlots = new SlotLogSettings(1, 0, 1_000, 256, 2_000, 10, 1_000);
        private final ClaimFleet small = new ClaimFleet(smallSlots);
        private final ClaimFleet.Instance writer = small.start("writer");

        private void run(String prefix, int requests) {
            for (int i = 0; i < requests; i++) {
                ClaimTicket ticket = small.grant(writer, small.request(prefix + i));
                small.after(100, writer.claims().settle(ticket, ClaimFleet.answer("answer " + i)));
            }
        }

        @Test
        void limitsSlotSize() {
            run("k", 100);
            assertTrue(small.store.peek("slots/000").orElseThrow().value().size() < 4_000);
            assertTrue(writer.count("sealed") > 2);
        }

        @Test
        void keepsAllAnswersReadable() {
            run("k", 60);
            ClaimFleet.Instance fresh = small.start("fresh");
            for (int i = 0; i < 60; i++) {
                ClaimResult result = small.after(100, fresh.claims().claim(small.request("k" + i)));
                ClaimResult.Recorded recorded = assertInstanceOf(ClaimResult.Recorded.class, result);
                assertEquals("answer " + i, recorded.answer().body().toStringUtf8());
            }
        }

        @Test
        void listsEverySegmentWhenTwoInstancesRace() {
            ClaimFleet.Instance rival = small.start("rival");
            for (int i = 0; i < 60; i++) {
                writer.claims().claim(small.request("a" + i)).thenAccept(result -> settle(writer, result));
                rival.claims().claim(small.request("b" + i)).thenAccept(result -> settle(rival, result));
                small.time.advance(100);
            }
            assertEquals(
                    writer.count("sealed") + rival.count("sealed"),
                    small.store.peekAll("segments/000/").size());
        }

        private void settle(ClaimFleet.Instance instance, ClaimResult result) {
            ClaimTicket ticket = ((ClaimResult.Granted) result).ticket();
            instance.claims().settle(ticket, ClaimFleet.answer("done"));
        }

        @Test
        void dropsSegmentsAfterRetention() {
            run("k", 60);
            small.time.advance(ClaimSettings.defaults().retentionMillis() + 1);
            run("later", 30);
            assertTrue(small.store.peekAll("segments/000/").size() <= 4);
        }
    }
}
