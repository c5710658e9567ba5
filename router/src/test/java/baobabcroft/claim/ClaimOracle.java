package baobabcroft.claim;

import static com.google.common.base.Preconditions.checkState;

import baobabcroft.billing.Bill;
import baobabcroft.billing.BillReport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Records which requests ran and what callers were told, and reports the first contradiction. */
final class ClaimOracle {
    private final Map<String, List<Run>> runsByKey = new HashMap<>();
    private final Map<String, Run> runsByAnswer = new HashMap<>();
    private final Set<Integer> reportedNotRun = new HashSet<>();
    private String firstViolation = "";

    /** One run of a request at an endpoint. */
    record Run(int delivery, String key, String body, String answer) {}

    /** Records a run and returns its answer, which is unique to this run. */
    String recordRun(int delivery, String key, String body) {
        Run run = new Run(delivery, key, body, "answer " + runsByAnswer.size() + " to " + key);
        List<Run> runs = runsByKey.computeIfAbsent(key, name -> new ArrayList<>());
        runs.add(run);
        runsByAnswer.put(run.answer(), run);
        check(runs.size() <= 1, "ran twice: " + runs);
        check(!reportedNotRun.contains(delivery), "ran after its caller was told that it had not run: " + run);
        return run.answer();
    }

    void reportedNotRun(int delivery) {
        boolean ran = runsByAnswer.values().stream().anyMatch(run -> run.delivery() == delivery);
        check(!ran, "caller was told that the request had not run, but it ran: delivery " + delivery);
        reportedNotRun.add(delivery);
    }

    void reportedAnswer(String key, String body, String answer) {
        Run run = runsByAnswer.get(answer);
        check(run != null, "answer that no run returned: " + answer);
        check(run != null && run.key().equals(key) && run.body().equals(body), "answer of another request: " + run);
    }

    boolean hasRun(String key) {
        return runsByKey.containsKey(key);
    }

    /** Checks the final bills: a key whose answer is certain to be recorded must have exactly one charged bill. */
    void checkBills(List<Bill> bills, List<String> answeredKeys) {
        Map<String, Integer> charged = new HashMap<>();
        for (Bill bill : BillReport.of(bills).bills()) {
            if (bill.outcome() == Bill.Outcome.ANSWERED) {
                String key = bill.requestId().substring(0, bill.requestId().indexOf('/'));
                charged.merge(key, 1, Integer::sum);
            }
        }
        charged.forEach((key, count) -> {
            check(count == 1, key + " was charged " + count + " times");
            check(hasRun(key), key + " was charged but did not run");
        });
        answeredKeys.forEach(key -> check(charged.containsKey(key), key + " ran but was not charged"));
    }

    /**
     * Throws if a check has failed. Failures are collected until the end because an exception thrown from a callback
     * might be caught by the code under test.
     */
    void verify() {
        checkState(firstViolation.isEmpty(), "%s", firstViolation);
    }

    private void check(boolean holds, String violationIfNot) {
        if (!holds && firstViolation.isEmpty()) {
            firstViolation = violationIfNot;
        }
    }
}
