package baobabcroft.fairness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class FairAdmissionTest {
    private static final AccountSubject LARGE = AccountSubject.of("orders", "large");
    private static final AccountSubject SMALL = AccountSubject.of("orders", "small");

    private long nowMillis = 1_000;
    private ServiceUse use = new ServiceUse(100, 100, 0, 0);
    private final AccountUses uses = AccountUses.create(() -> nowMillis);
    private final FairAdmission admission = FairAdmission.create(
            () -> nowMillis,
            uses,
            service -> use,
            service -> Map.of(LARGE, 1.0, SMALL, 1.0),
            (request, aboveShare, occupancy) -> {});

    private OptionalLong refusal(String account, double precedence) {
        nowMillis += 200;
        return admission.refusalMillis(new FairRequest("orders", account, 1, precedence, 0));
    }

    private void report(int large, int small) {
        uses.updateInstance(
                "instance-2", nowMillis, Map.of(LARGE, new AccountUse(large, 0), SMALL, new AccountUse(small, 0)));
    }

    @Test
    void refusesAccountAboveItsShareUntilItIsExpectedToBeWithin() {
        report(90, 10);
        assertTrue(refusal("large", 0).orElseThrow() >= 400);
        assertEquals(OptionalLong.empty(), refusal("small", 0.5));
    }

    /** Guards against refusals while half of the slots are free, whatever the memory is. */
    @Test
    void refusesNobodyWhileHalfOfTheSlotsAreFree() {
        report(40, 1);
        use = new ServiceUse(100, 41, 1_000, 2_000);
        assertEquals(OptionalLong.empty(), refusal("large", 1));
    }

    /** Guards against refusals on the word of notices that are lost or do not name accounts. */
    @Test
    void refusesNobodyWhileTheUsesOfAccountsAreUnknown() {
        report(60, 10);
        assertEquals(OptionalLong.empty(), refusal("large", 0));

        report(80, 10);
        assertTrue(refusal("large", 0).isPresent());
        nowMillis += 5_000;
        assertEquals(OptionalLong.empty(), refusal("large", 0));
    }

    @Test
    void refusesLessUrgentRequestsOfAnAccountFirst() {
        report(48, 48);
        use = new ServiceUse(100, 96, 0, 0);
        assertEquals(OptionalLong.empty(), refusal("large", 0));
        assertTrue(refusal("large", 0.6).isPresent());
    }

    /** Guards against an instance that admits many requests of one account between two reads of the loads. */
    @Test
    void countsRequestsAdmittedSinceTheLastRead() {
        report(40, 40);
        use = new ServiceUse(100, 80, 0, 0);
        FairRequest request = new FairRequest("orders", "large", 1, 0, 0);
        int admitted = 0;
        while (admitted < 100 && admission.refusalMillis(request).isEmpty()) {
            admission.start(request);
            admitted++;
            use = new ServiceUse(100, 80 + admitted, 0, 0);
        }
        assertTrue(admitted <= 20, "" + admitted);
    }

    /** Guards against notices that grow while there is room. */
    @Test
    void reportsUsesOfContendedServicesOnly() {
        admission.start(new FairRequest("orders", "small", 1, 0, 30));
        use = new ServiceUse(100, 50, 0, 0);
        assertTrue(admission.ownReport().isEmpty());

        nowMillis += 200;
        use = new ServiceUse(100, 60, 0, 0);
        assertEquals(Map.of(SMALL, new AccountUse(1, 30)), admission.ownReport());
        report(5, 5);
        assertEquals(new AccountUse(6, 30), admission.domainReport().get(SMALL));
    }

    @Test
    void unusedSharesGoToOthersByWeight() {
        List<MaxMinLevel.Use> uses =
                List.of(new MaxMinLevel.Use(10, 1), new MaxMinLevel.Use(80, 1), new MaxMinLevel.Use(80, 2));
        assertEquals(30, MaxMinLevel.of(100, uses));
        assertEquals(Double.POSITIVE_INFINITY, MaxMinLevel.of(170, uses));
    }
}
