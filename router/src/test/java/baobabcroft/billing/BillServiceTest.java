package baobabcroft.billing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.fake.FakeStore;
import baobabcroft.fake.FakeStoreClient;
import baobabcroft.fake.VirtualTime;
import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BillServiceTest {
    private final VirtualTime time = new VirtualTime();
    private final FakeStore store = new FakeStore(time);
    private final FakeStoreClient client = store.connect();
    private final BillService peer = start("peer", store.connect(), bills -> CompletableFuture.completedFuture(false));
    private final ToPeer toPeer = new ToPeer();
    private final BillService service = start("own", client, toPeer);

    private final class ToPeer implements BillHolder {
        private boolean reachable = true;

        @Override
        public CompletionStage<Boolean> hold(List<Bill> bills) {
            return CompletableFuture.completedFuture(reachable && peer.holdForPeer(bills));
        }

        @Override
        public void release(List<Bill.Id> ids) {
            peer.releaseForPeer(ids);
        }

        @Override
        public boolean isReachable() {
            return reachable;
        }
    }

    private BillService start(String name, FakeStoreClient connection, BillHolder holder) {
        BillingContext context = new BillingContext(
                connection, time.scheduler(), Runnable::run, time.ticker(), () -> 0.5, new MetricRegistry());
        return BillService.create(name, context, BillingSettings.defaults(), holder);
    }

    private static Bill bill(int number) {
        return new Bill(
                "optika",
                "r" + number,
                Bill.Kind.GENERATION,
                "film-small@2",
                40,
                number,
                Bill.Outcome.ANSWERED,
                1_700_000_000_000L);
    }

    private CompletionStage<BillResult> record(int number) {
        return service.record(bill(number));
    }

    private BillReport report() {
        BillReader reader = BillReader.create(
                store.connect(), () -> CompletableFuture.completedFuture(Optional.of(ImmutableList.of())));
        CompletableFuture<Optional<BillReport>> read = reader.read().toCompletableFuture();
        time.advance(100);
        return read.getNow(Optional.empty()).orElseThrow();
    }

    @Nested
    class WithTheStore {
        @Test
        void billsBecomeDurable() {
            CompletableFuture<BillResult> result = record(1).toCompletableFuture();
            time.advance(20);
            assertInstanceOf(BillResult.Durable.class, result.getNow(null));
            assertEquals(List.of(bill(1)), report().bills());
        }

        @Test
        void billsOfOneWindowShareAWrite() {
            record(0);
            time.advance(10);
            FakeStore.Calls before = store.calls();
            for (int i = 1; i <= 100; i++) {
                record(i);
            }
            time.advance(200);
            assertEquals(1, store.calls().since(before).writes());
            assertEquals(101, report().bills().size());
        }

        @Test
        void aLostReplyCountsNoBillTwice() {
            store.loseReplies(1);
            CompletableFuture<BillResult> result = record(1).toCompletableFuture();
            time.advance(200);
            assertInstanceOf(BillResult.Durable.class, result.getNow(null));
            assertEquals(new BillReport(ImmutableList.of(bill(1)), 0), report());
        }

        @Test
        void aLongJournalGoesOnInANewSegment() {
            for (int i = 0; i < 3_000; i++) {
                record(i);
                time.advance(2);
            }
            time.advance(200);
            assertTrue(store.peekAll("bills/own/").size() > 1);
            assertEquals(3_000, report().bills().size());
        }
    }

    @Nested
    class WithoutTheStore {
        @Test
        void anotherInstanceHoldsTheBill() {
            store.setDown(true);
            CompletableFuture<BillResult> result = record(1).toCompletableFuture();
            time.advance(500);
            assertInstanceOf(BillResult.Held.class, result.getNow(null));
            assertTrue(service.isAvailable());
        }

        @Test
        void aBillHeldByNobodyIsRefused() {
            store.setDown(true);
            toPeer.reachable = false;
            CompletableFuture<BillResult> result = record(1).toCompletableFuture();
            time.advance(2_000);
            assertInstanceOf(BillResult.Refused.class, result.getNow(null));
            assertFalse(service.isAvailable());
        }

        @Test
        void theHolderWritesForAnInstanceThatDied() {
            store.setDown(true);
            record(1);
            time.advance(500);
            client.setDisconnected(true);
            store.setDown(false);
            time.advance(20_000);
            assertEquals(List.of(bill(1)), report().bills());
            assertEquals(0, peer.pendingCount());
        }

        @Test
        void bothWritingTheBillCountsItOnce() {
            store.setDown(true);
            record(1);
            time.advance(500);
            client.setDisconnected(true);
            store.setDown(false);
            time.advance(20_000);
            client.setDisconnected(false);
            time.advance(20_000);
            assertEquals(new BillReport(ImmutableList.of(bill(1)), 1), report());
        }

        @Test
        void theHolderLetsGoOfABillThatItsOwnerStored() {
            store.setDown(true);
            record(1);
            time.advance(500);
            store.setDown(false);
            time.advance(20_000);
            assertEquals(new BillReport(ImmutableList.of(bill(1)), 0), report());
            assertEquals(0, peer.pendingCount());
        }
    }
}
