package baobabcroft.billing;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Bills with duplicates removed, one for each request.
 *
 * @param bills the bills, ordered by the first record of each request
 * @param duplicateCount number of duplicate records that were left out
 */
public record BillReport(ImmutableList<Bill> bills, int duplicateCount) {
    /**
     * Returns a report with one bill for each request: the earliest record, except that a record with an unknown
     * outcome is replaced by a later one.
     *
     * @param recorded all recorded bills, earliest first
     * @return report without duplicates
     */
    public static BillReport of(List<Bill> recorded) {
        Map<Bill.Id, Bill> byId = new LinkedHashMap<>();
        int duplicateCount = 0;
        for (Bill bill : recorded) {
            Bill earlier = byId.putIfAbsent(bill.id(), bill);
            if (earlier == null) {
                continue;
            }
            duplicateCount++;
            if (earlier.outcome() == Bill.Outcome.UNKNOWN) {
                byId.put(bill.id(), bill);
            }
        }
        return new BillReport(ImmutableList.copyOf(new ArrayList<>(byId.values())), duplicateCount);
    }
}
