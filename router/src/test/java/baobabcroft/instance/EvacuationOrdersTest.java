package baobabcroft.instance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.directory.EvacuatedDomains;
import baobabcroft.fake.VirtualTime;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EvacuationOrdersTest {
    private static final long CONTACT_MILLIS = 5_000;
    private static final String DOMAIN = "east-1";

    private final VirtualTime time = new VirtualTime();
    private final EvacuatedDomains evacuated = new EvacuatedDomains();
    private long viewOfMillis;
    private boolean storeOut;
    private int changes;
    private final EvacuationOrders orders = new EvacuationOrders(
            evacuated,
            time.scheduler(),
            time::nowMillis,
            this::viewAgeMillis,
            CONTACT_MILLIS,
            () -> changes++,
            domain -> {});

    private long viewAgeMillis() {
        viewOfMillis = storeOut ? viewOfMillis : time.nowMillis();
        return time.nowMillis() - viewOfMillis;
    }

    private boolean isEvacuated() {
        return evacuated.contains(DOMAIN);
    }

    private void returnFromCopy(boolean withOrder) {
        orders.onEraStarted();
        if (withOrder) {
            orders.onOrdered(DOMAIN);
        } else {
            orders.onRemoved(DOMAIN);
        }
        orders.onSnapshotEnd();
    }

    @BeforeEach
    void order() {
        orders.onOrdered(DOMAIN);
        orders.onOrdered(DOMAIN);
    }

    /** Guards against requests that wait on, and against work for each repetition of an order. */
    @Test
    void ordersAreReportedOnce() {
        assertTrue(isEvacuated());
        assertEquals(1, changes);
    }

    /** Guards against an evacuation that goes on for seconds after its end. */
    @Test
    void deletionEndsAnOrderAtOnce() {
        orders.onRemoved(DOMAIN);

        assertFalse(isEvacuated());
    }

    /** A copy of the store lacks an order that operators rely on. */
    @Nested
    class MissingOrders {
        /** Guards against requests to the domain before operators can have written the order again. */
        @Test
        void holdUntilTheStoreHasConfirmedItsKeysAgain() {
            returnFromCopy(false);
            time.advance(CONTACT_MILLIS - 1);
            assertTrue(isEvacuated());
            time.advance(500);
            assertFalse(isEvacuated());
        }

        /** Guards against an end that only the clock confirms: operators cannot write while the store is out. */
        @Test
        void holdWhileTheStoreIsOut() {
            returnFromCopy(false);
            time.advance(1_000);
            viewAgeMillis();
            storeOut = true;
            time.advance(10 * CONTACT_MILLIS);
            assertTrue(isEvacuated());
            storeOut = false;
            time.advance(500);
            assertFalse(isEvacuated());
        }

        /** Guards against the end of an order that was written again in time. */
        @Test
        void stayIfWrittenAgain() {
            returnFromCopy(false);
            time.advance(CONTACT_MILLIS - 1);
            orders.onOrdered(DOMAIN);
            time.advance(10 * CONTACT_MILLIS);

            assertTrue(isEvacuated());
        }

        /** Guards against the time of the first return being used for the second one. */
        @Test
        void holdAnewAfterASecondReturn() {
            returnFromCopy(false);
            time.advance(CONTACT_MILLIS - 1);
            orders.onEraStarted();
            orders.onSnapshotEnd();
            time.advance(CONTACT_MILLIS - 1);

            assertTrue(isEvacuated());
            time.advance(500);
            assertFalse(isEvacuated());
        }

        /** Guards against an operator's deletion, after the return, that takes as long as a missing key. */
        @Test
        void endAtOnceIfDeletedAfterTheReturn() {
            returnFromCopy(true);
            orders.onRemoved(DOMAIN);

            assertFalse(isEvacuated());
        }
    }
}
