package baobabcroft.admission;

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
final class WaitingLine {
    private final TreeMap<Integer, Map<String, Deque<AdmissionTicket>>> classes =
            new TreeMap<>(Comparator.reverseOrder());
    private final Map<String, Integer> running = new HashMap<>();
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
        return classes.computeIfAbsent(priority, key -> new LinkedHashMap<>());
    }

    boolean remove(AdmissionTicket ticket) {
        int priority = ticket.request().priority();
        Map<String, Deque<AdmissionTicket>> accounts = classes.getOrDefault(priority, Map.of());
        Deque<AdmissionTicket> line = accounts.get(ticket.request().account());
        if (line == null || !line.remove(ticket)) {
            return false;
        }
        size--;
        if (line.isEmpty()) {
            accounts.remove(ticket.request().account());
        }
        if (accounts.isEmpty()) {
            classes.remove(priority);
        }
        return true;
    }

    void started(String account) {
        running.merge(account, 1, Integer::sum);
    }

    void ended(String account) {
        running.computeIfPresent(account, (name, count) -> count > 1 ? count - 1 : null);
    }

    int running(String account) {
        return running.getOrDefault(account, 0);
    }

    Optional<AdmissionTicket> next() {
        return classes.values().stream().findFirst().flatMap(accounts -> accounts.entrySet().stream()
                .min(Comparator.comparingInt(entry -> running(entry.getKey())))
                .map(entry -> entry.getValue().peekFirst()));
    }

    /** Returns the request to shed first: in the lowest priority, the newest one of the account with most waiting. */
    Optional<AdmissionTicket> last() {
        if (classes.isEmpty()) {
            return Optional.empty();
        }
        return classes.lastEntry().getValue().values().stream()
                .max(Comparator.comparingInt(Collection::size))
                .map(Deque::peekLast);
    }

    int waiting(AdmissionRequest request) {
        Deque<AdmissionTicket> line =
                classes.getOrDefault(request.priority(), Map.of()).get(request.account());
        return line == null ? 0 : line.size();
    }

    /** Returns the number of waiting requests that would start before a new one. */
    int ahead(AdmissionRequest request) {
        int own = waiting(request);
        int ahead = own;
        for (Map.Entry<Integer, Map<String, Deque<AdmissionTicket>>> entry : classes.entrySet()) {
            int priority = entry.getKey();
            if (priority < request.priority()) {
                break;
            }
            boolean sameClass = priority == request.priority();
            for (Map.Entry<String, Deque<AdmissionTicket>> line :
                    entry.getValue().entrySet()) {
                boolean ownLine = sameClass && line.getKey().equals(request.account());
                int waiting = line.getValue().size();
                ahead += ownLine ? 0 : sameClass ? Math.min(waiting, own + 1) : waiting;
            }
        }
        return ahead;
    }
}
