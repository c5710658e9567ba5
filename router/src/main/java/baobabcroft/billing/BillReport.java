package baobabcroft.billing;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Bills, each request once.
 *
 * @param bills the bills, in the order in which they were first found
 * @param doubles how many further records of the same requests were left out
 */
public record BillReport(ImmutableList<Bill> bills, int doubles) {
    /**
     * Returns each request's bill once: the earliest one, but an unknown outcome gives way to any other.
     *
     * @param recorded all records of bills, earliest first
     * @return the report
     */
    public static BillReport of(List<Bill> recorded) {
        Map<Bill.Id, Bill> byId = new LinkedHashMap<>();
        int doubles = 0;
        for (Bill bill : recorded) {
            Bill earlier = byId.putIfAbsent(bill.id(), bill);
            if (earlier == null) {
                continue;
            }
            doubles++;
            if (earlier.outcome() == Bill.Outcome.UNKNOWN) {
                byId.put(bill.id(), bill);
            }
        }
        return new BillReport(ImmutableList.copyOf(new ArrayList<>(byId.values())), doubles);
    }
}
