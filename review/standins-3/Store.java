import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in for the platform's metadata store (PROTOCOL.md), which keeps all its history. Thread-safe. */
final class Store {
    private static final int PAGE_ITEMS = 500;

    private final TreeMap<String, Map<String, Object>> items = new TreeMap<>();
    private final List<Map<String, Object>> history = new ArrayList<>();
    private final HttpServer server;
    private final Record record;
    private long revision = 1;

    Store(String host, Record record) throws IOException {
        this.record = record;
        server = HttpServer.create(new InetSocketAddress(host, 0), 256);
        server.createContext("/", this::serve);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.start();
    }

    String address() {
        return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
    }

    /** Writes a key as an operator or a worker does, and returns once the write is acknowledged. */
    synchronized void put(String key, Map<String, Object> value) {
        set(key, Base64.getEncoder().encodeToString(Json.write(value).getBytes(StandardCharsets.UTF_8)), 0L);
        record.line("store: " + key + " = " + Json.write(value));
    }

    synchronized void delete(String key) {
        if (remove(key)) {
            record.line("store: " + key + " removed");
        }
    }

    /** Returns the text of a key's value; empty if there is none. */
    synchronized String text(String key) {
        Map<String, Object> item = items.get(key);
        return item == null
                ? ""
                : new String(Base64.getDecoder().decode((String) item.get("value")), StandardCharsets.UTF_8);
    }

    private void set(String key, String value, Object lease) {
        revision++;
        Map<String, Object> item = new LinkedHashMap<>();
        item.put("key", key);
        item.put("value", value);
        item.put("revision", revision);
        item.put("created_rev", items.containsKey(key) ? items.get(key).get("created_rev") : (Object) revision);
        item.put("lease", lease);
        items.put(key, item);
        history.add(item);
        notifyAll();
    }

    private boolean remove(String key) {
        if (items.remove(key) == null) {
            return false;
        }
        revision++;
        history.add(Map.of("key", key, "revision", revision, "removed", true));
        notifyAll();
        return true;
    }

    private void serve(HttpExchange exchange) throws IOException {
        try (exchange) {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            Object[] answer = answer(exchange.getRequestURI().getPath(), query, body);
            byte[] bytes = Json.write(answer[1]).getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders((int) answer[0], bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        for (String part : raw == null ? new String[0] : raw.split("&")) {
            String[] pair = part.split("=", 2);
            query.put(pair[0], URLDecoder.decode(pair.length > 1 ? pair[1] : "", StandardCharsets.UTF_8));
        }
        return query;
    }

    private synchronized Object[] answer(String path, Map<String, String> query, String body)
            throws InterruptedException {
        return switch (path) {
            case "/kv-range" -> range(query);
            case "/kv-watch" -> watch(query);
            case "/kv-txn" -> write(Json.object(Json.parse(body)));
            default -> new Object[] {404, Map.of()};
        };
    }

    private Object[] range(Map<String, String> query) {
        List<Object> page = new ArrayList<>();
        boolean truncated = false;
        for (Map<String, Object> item : items.tailMap(query.getOrDefault("after", ""), false).values()) {
            if (((String) item.get("key")).startsWith(query.getOrDefault("path_prefix", ""))) {
                truncated = page.size() == PAGE_ITEMS;
                if (truncated) {
                    break;
                }
                page.add(item);
            }
        }
        return new Object[] {200, Map.of("items", page, "truncated", truncated, "store_revision", revision)};
    }

    private Object[] watch(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long untilNanos = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        List<Object> events = eventsAfter(after, query.getOrDefault("path_prefix", ""));
        for (long left = untilNanos - System.nanoTime(); events.isEmpty() && left > 0;
                left = untilNanos - System.nanoTime()) {
            wait(left / 1_000_000 + 1);
            events = eventsAfter(after, query.getOrDefault("path_prefix", ""));
        }
        return new Object[] {200, Map.of("events", events, "store_revision", revision)};
    }

    private List<Object> eventsAfter(long after, String prefix) {
        List<Object> events = new ArrayList<>();
        for (Map<String, Object> event : history) {
            if ((long) event.get("revision") > after && ((String) event.get("key")).startsWith(prefix)) {
                events.add(event);
            }
        }
        return events;
    }

    private Object[] write(Map<String, Object> transaction) {
        List<Object> current = new ArrayList<>();
        boolean holds = true;
        for (Object row : Json.list(transaction.get("expect_rev"))) {
            Map<String, Object> item = items.get(Json.object(row).get("key"));
            holds &= (item == null ? 0L : (long) item.get("revision")) == (long) Json.object(row).get("revision");
            if (item != null) {
                current.add(item);
            }
        }
        for (Object row : Json.list(transaction.get("set_keys"))) {
            String key = (String) Json.object(row).get("key");
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return new Object[] {403, Map.of()};
            }
        }
        if (!holds) {
            return new Object[] {412, Map.of("items", current)};
        }
        for (Object row : Json.list(transaction.get("set_keys"))) {
            Map<String, Object> entry = Json.object(row);
            set((String) entry.get("key"), (String) entry.get("value"), entry.getOrDefault("lease", 0L));
            record.line("system writes: " + entry.get("key") + " = " + text((String) entry.get("key")));
        }
        Json.list(transaction.get("remove")).forEach(key -> remove((String) key));
        return new Object[] {200, Map.of("revision", revision)};
    }
}
