import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store, by the pages: kv-key, kv-range, kv-watch, kv-txn. All reads are linearizable. */
final class Store {
    private static final int PAGE_ITEMS = 500;

    private static final class Item {
        String key;
        byte[] value;
        long revision;
        long created;
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Map<String, Object>> events = new ArrayList<>();
    private long revision = 1;
    final int port;

    Store() throws Exception {
        ServerSocket server = Http.bind(0);
        port = server.getLocalPort();
        Http.serve(server, this::handle);
    }

    /** Writes a key as the operator or a worker does; returns its revision. */
    synchronized long put(String key, String value) {
        return set(key, value.getBytes(StandardCharsets.UTF_8));
    }

    private long set(String key, byte[] value) {
        revision++;
        Item item = items.computeIfAbsent(key, unused -> new Item());
        item.key = key;
        item.value = value;
        item.created = item.revision == 0 ? revision : item.created;
        item.revision = revision;
        events.add(show(item));
        notifyAll();
        return revision;
    }

    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            Map<String, Object> event = new LinkedHashMap<>();
            event.put("key", key);
            event.put("revision", revision);
            event.put("removed", true);
            events.add(event);
            notifyAll();
        }
    }

    synchronized String get(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(item.value, StandardCharsets.UTF_8);
    }

    private static Map<String, Object> show(Item item) {
        Map<String, Object> shown = new LinkedHashMap<>();
        shown.put("key", item.key);
        shown.put("value", Base64.getEncoder().encodeToString(item.value));
        shown.put("revision", item.revision);
        shown.put("created_rev", item.created);
        shown.put("lease", 0L);
        return shown;
    }

    private static Map<String, String> query(String target) {
        Map<String, String> fields = new HashMap<>();
        int mark = target.indexOf('?');
        for (String part : mark < 0 ? new String[0] : target.substring(mark + 1).split("&")) {
            String[] pair = part.split("=", 2);
            fields.put(pair[0], URLDecoder.decode(pair.length < 2 ? "" : pair[1], StandardCharsets.UTF_8));
        }
        return fields;
    }

    private boolean handle(Http.Message request, OutputStream out, java.net.Socket socket) throws Exception {
        String path = request.target().split("\\?")[0];
        Map<String, String> query = query(request.target());
        Map<String, Object> answer = new LinkedHashMap<>();
        int status =
                switch (path) {
                    case "/kv-key" -> key(query, answer);
                    case "/kv-range" -> range(query, answer);
                    case "/kv-watch" -> watch(query, answer);
                    case "/kv-txn" -> write(request, answer);
                    default -> 404;
                };
        boolean close = "close".equalsIgnoreCase(request.header("Connection"));
        String headers = "Content-Type: application/json\r\n" + (close ? "Connection: close\r\n" : "");
        Http.respond(out, status, headers, Json.write(answer).getBytes(StandardCharsets.UTF_8));
        return !close;
    }

    private synchronized int key(Map<String, String> query, Map<String, Object> answer) {
        Item item = items.get(query.get("key"));
        if (item == null) {
            return 404;
        }
        answer.putAll(show(item));
        answer.put("store_revision", revision);
        return 200;
    }

    private synchronized int range(Map<String, String> query, Map<String, Object> answer) {
        List<Object> found = new ArrayList<>();
        String after = query.getOrDefault("after", "");
        boolean truncated = false;
        for (Item item : items.tailMap(after, false).values()) {
            if (item.key.startsWith(query.getOrDefault("path_prefix", ""))) {
                truncated = found.size() == PAGE_ITEMS;
                if (truncated) {
                    break;
                }
                found.add(show(item));
            }
        }
        answer.put("items", found);
        answer.put("truncated", truncated);
        answer.put("store_revision", revision);
        return 200;
    }

    private synchronized int watch(Map<String, String> query, Map<String, Object> answer) throws Exception {
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() + 1_000_000L * Math.min(30_000, Long.parseLong(query.get("wait_ms")));
        List<Object> found = since(after);
        while (found.isEmpty() && System.nanoTime() < until) {
            wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
            found = since(after);
        }
        answer.put("events", found);
        answer.put("store_revision", revision);
        return 200;
    }

    private List<Object> since(long after) {
        List<Object> found = new ArrayList<>();
        for (int i = events.size() - 1; i >= 0 && (Long) events.get(i).get("revision") > after; i--) {
            found.add(0, events.get(i));
        }
        return found;
    }

    @SuppressWarnings("unchecked")
    private synchronized int write(Http.Message request, Map<String, Object> answer) {
        Map<String, Object> call = (Map<String, Object>) Json.parse(new String(request.body, StandardCharsets.UTF_8));
        List<Map<String, Object>> expected = (List<Map<String, Object>>) call.get("expect_rev");
        boolean holds = true;
        List<Object> now = new ArrayList<>();
        for (Map<String, Object> row : expected) {
            Item item = items.get((String) row.get("key"));
            holds &= (item == null ? 0 : item.revision) == (Long) row.get("revision");
            if (item != null) {
                now.add(show(item));
            }
        }
        if (!holds) {
            answer.put("items", now);
            return 412;
        }
        for (Map<String, Object> row : (List<Map<String, Object>>) call.get("set_keys")) {
            String key = (String) row.get("key");
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return 403;
            }
            set(key, Base64.getDecoder().decode((String) row.get("value")));
        }
        for (Object key : (List<Object>) call.get("remove")) {
            remove((String) key);
        }
        answer.put("revision", revision);
        return 200;
    }
}
