import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in of the platform's store: kv-range, kv-watch, kv-key and kv-txn of PROTOCOL.md. The stand-ins of workers and
 * of the operator write to it by method calls.
 */
final class Store implements AutoCloseable {
    private record Item(String key, byte[] value, long revision, long created) {}

    private record Event(String key, byte[] value, long revision, long created) {}

    private static final Pattern EXPECT = Pattern.compile("\"key\":\"([^\"]*)\",\"revision\":(\\d+)");
    private static final Pattern SET = Pattern.compile("\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\"");

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final HttpServer server;
    private long revision = 100;
    private long cutWatchesAt;

    Store(String host) throws IOException {
        server = HttpServer.create(new InetSocketAddress(host, 0), 64);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::serve);
        server.start();
    }

    String address() {
        return server.getAddress().getHostString() + ":" + server.getAddress().getPort();
    }

    /** Writes a key and returns its revision. */
    synchronized long put(String key, String value) {
        return write(key, value.getBytes(StandardCharsets.UTF_8));
    }

    /** Removes a key. */
    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(new Event(key, null, revision, 0));
            notifyAll();
        }
    }

    /** Returns the text of a key, or an empty string. */
    synchronized String get(String key) {
        Item item = items.get(key);
        return item == null ? "" : new String(item.value(), StandardCharsets.UTF_8);
    }

    /** Cuts the watches that wait now, without an answer. */
    synchronized void cutWatches() {
        cutWatchesAt++;
        notifyAll();
    }

    private long write(String key, byte[] value) {
        revision++;
        Item former = items.get(key);
        Item item = new Item(key, value, revision, former == null ? revision : former.created());
        items.put(key, item);
        history.add(new Event(key, value, revision, item.created()));
        notifyAll();
        return revision;
    }

    private void serve(HttpExchange exchange) throws IOException {
        try {
            byte[] body = exchange.getRequestBody().readAllBytes();
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            switch (exchange.getRequestURI().getPath()) {
                case "/kv-range" -> answer(exchange, 200, range(query));
                case "/kv-watch" -> watch(exchange, query);
                case "/kv-txn" -> transact(exchange, new String(body, StandardCharsets.UTF_8));
                default -> answer(exchange, 404, "{}");
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private synchronized String range(Map<String, String> query) {
        String prefix = query.getOrDefault("path_prefix", "");
        String after = query.getOrDefault("after", "");
        StringBuilder rows = new StringBuilder();
        int count = 0;
        int bytes = 0;
        boolean truncated = false;
        for (Item item : items.values()) {
            if (!item.key().startsWith(prefix) || item.key().compareTo(after) <= 0) {
                continue;
            }
            if (count >= 500 || bytes > 1_000_000) {
                truncated = true;
                break;
            }
            rows.append(count++ == 0 ? "" : ",").append(row(item.key(), item.value(), item.revision(), item.created()));
            bytes += item.value().length;
        }
        return "{\"items\":[" + rows + "],\"truncated\":" + truncated + ",\"store_revision\":" + revision + "}";
    }

    private void watch(HttpExchange exchange, Map<String, String> query) throws IOException, InterruptedException {
        String prefix = query.getOrDefault("path_prefix", "");
        long after = Long.parseLong(query.get("after"));
        long untilMillis = System.currentTimeMillis() + Long.parseLong(query.get("wait_ms"));
        String text;
        synchronized (this) {
            long cuts = cutWatchesAt;
            while (events(prefix, after).isEmpty()) {
                long left = untilMillis - System.currentTimeMillis();
                if (left <= 0) {
                    break;
                }
                wait(left);
                if (cuts != cutWatchesAt) {
                    return;
                }
            }
            StringBuilder rows = new StringBuilder();
            for (Event event : events(prefix, after)) {
                rows.append(rows.length() == 0 ? "" : ",")
                        .append(
                                event.value() == null
                                        ? "{\"key\":\"" + event.key() + "\",\"revision\":" + event.revision()
                                                + ",\"removed\":true}"
                                        : row(event.key(), event.value(), event.revision(), event.created()));
            }
            text = "{\"events\":[" + rows + "],\"store_revision\":" + revision + "}";
        }
        answer(exchange, 200, text);
    }

    private List<Event> events(String prefix, long after) {
        List<Event> found = new ArrayList<>();
        for (int i = history.size() - 1; i >= 0 && history.get(i).revision() > after; i--) {
            if (history.get(i).key().startsWith(prefix)) {
                found.add(0, history.get(i));
            }
        }
        return found;
    }

    private void transact(HttpExchange exchange, String body) throws IOException {
        int status = 200;
        String text;
        synchronized (this) {
            StringBuilder conflicts = new StringBuilder();
            Matcher expected = EXPECT.matcher(body);
            while (expected.find()) {
                Item item = items.get(expected.group(1));
                long known = item == null ? 0 : item.revision();
                if (known != Long.parseLong(expected.group(2))) {
                    status = 412;
                }
                conflicts.append(conflicts.length() == 0 ? "" : ",");
                conflicts.append(
                        item == null
                                ? "{\"key\":\"" + expected.group(1) + "\",\"revision\":0}"
                                : row(item.key(), item.value(), item.revision(), item.created()));
            }
            if (status == 200) {
                Matcher set = SET.matcher(body);
                while (set.find()) {
                    write(set.group(1), Base64.getDecoder().decode(set.group(2)));
                }
                text = "{\"revision\":" + revision + "}";
            } else {
                text = "{\"items\":[" + conflicts + "]}";
            }
        }
        answer(exchange, status, text);
    }

    private static String row(String key, byte[] value, long revision, long created) {
        return "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value) + "\",\"revision\":"
                + revision + ",\"created_rev\":" + created + ",\"lease\":0}";
    }

    private static void answer(HttpExchange exchange, int status, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> values = new LinkedHashMap<>();
        for (String pair : (raw == null ? "" : raw).split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                values.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return values;
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
