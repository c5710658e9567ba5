package baobabcroft.admission;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Waiting requests in the order of their start: by priority, greatest first; within a priority, the account with the
 * fewest running requests first; within an account, in order of arrival. Not thread-safe.
 */
final class WaitQueue {
    private final TreeMap<Integer, Map<String, Deque<AdmissionTicket>>> byPriority =
            new TreeMap<>(Comparator.reverseOrder());
    private final Map<String, Integer> runningByAccount = new HashMap<>();
    private int size;

    int size() {
        return size;
    }

    void add(AdmissionTicket ticket) {
        accountsOf(ticket.request().priority())
                .computeIfAbsent(ticket.request().account(), account -> new ArrayDeque<>())
                .addLast(ticket);
        size++;
    }

    private Map<String, Deque<AdmissionTicket>> accountsOf(int priority) {
        return byPriority.computeIfAbsent(priority, key -> new LinkedHashMap<>());
    }

    boolean remove(AdmissionTicket ticket) {
        int priority = ticket.request().priority();
        Map<String, Deque<AdmissionTicket>> accounts = byPriority.getOrDefault(priority, Map.of());
        Deque<AdmissionTicket> tickets = accounts.get(ticket.request().account());
        if (tickets == null || !tickets.remove(ticket)) {
            return false;
        }
        size--;
        if (tickets.isEmpty()) {
            accounts.remove(ticket.request().account());
        }
        if (accounts.isEmpty()) {
            byPriority.remove(priority);
        }
        return true;
    }

    void incrementRunning(String account) {
        runningByAccount.merge(account, 1, Integer::sum);
    }

    void decrementRunning(String account) {
        runningByAccount.computeIfPresent(account, (name, count) -> count > 1 ? count - 1 : null);
    }

    int countRunning(String account) {
        return runningByAccount.getOrDefault(account, 0);
    }

    Optional<AdmissionTicket> next() {
        return byPriority.values().stream().findFirst().flatMap(accounts -> accounts.entrySet().stream()
                .min(Comparator.comparingInt(entry -> countRunning(entry.getKey())))
                .map(entry -> entry.getValue().peekFirst()));
    }

    /** Returns all waiting requests. */
    ImmutableList<AdmissionTicket> all() {
        return byPriority.values().stream()
                .flatMap(accounts -> accounts.values().stream())
                .flatMap(Deque::stream)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the request to shed first: in the lowest priority, the newest one of the account with most waiting. */
    Optional<AdmissionTicket> shedCandidate() {
        if (byPriority.isEmpty()) {
            return Optional.empty();
        }
        return byPriority.lastEntry().getValue().values().stream()
                .max(Comparator.comparingInt(Collection::size))
                .map(Deque::peekLast);
    }

    int countWaiting(AdmissionRequest request) {
        Deque<AdmissionTicket> tickets =
                byPriority.getOrDefault(request.priority(), Map.of()).get(request.account());
        return tickets == null ? 0 : tickets.size();
    }

    /** Returns the number of waiting requests that would start before a new one. */
    int countAhead(AdmissionRequest request) {
        int own = countWaiting(request);
        int ahead = own;
        for (Map.Entry<Integer, Map<String, Deque<AdmissionTicket>>> entry : byPriority.entrySet()) {
            int priority = entry.getKey();
            if (priority < request.priority()) {
                break;
            }
            boolean samePriority = priority == request.priority();
            for (Map.Entry<String, Deque<AdmissionTicket>> account :
                    entry.getValue().entrySet()) {
                boolean sameAccount = samePriority && account.getKey().equals(request.account());
                int waiting = account.getValue().size();
                ahead += sameAccount ? 0 : samePriority ? Math.min(waiting, own + 1) : waiting;
            }
        }
        return ahead;
    }
}
