import java.net.Socket;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store, form "table": rows, transactions and the feed, as PROTOCOL.md describes them. */
final class Store {
    private static final class Row {
        String value;
        long version;
        boolean isDeleted;
    }

    private static final int MAX_ROWS = 500;
    private final TreeMap<String, TreeMap<String, Row>> tables = new TreeMap<>();
    private final long startNanos = System.nanoTime();
    private long version = 0;
    final int port;

    Store() throws Exception {
        port = Http.serve(this::handle);
    }

    private long nowMs() {
        return 1_000 + (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Writes a row as the operator or an engine does; the return is the confirmation. */
    synchronized long put(String table, String key, Object value) {
        version += 1;
        set(table, key, Base64.getEncoder().encodeToString(Json.write(value).getBytes()), false);
        notifyAll();
        return version;
    }

    /** Removes a row as the operator, an engine or the platform does. */
    synchronized void remove(String table, String key) {
        version += 1;
        set(table, key, null, true);
        notifyAll();
    }

    private void set(String table, String key, String value, boolean isDeleted) {
        Row row = new Row();
        row.value = value;
        row.version = version;
        row.isDeleted = isDeleted;
        tables.computeIfAbsent(table, t -> new TreeMap<>()).put(key, row);
    }

    private Row find(String table, String key) {
        Row row = tables.getOrDefault(table, new TreeMap<>()).get(key);
        return row == null || row.isDeleted ? null : row;
    }

    private static Map<String, Object> view(String table, String key, Row row) {
        Map<String, Object> view = Json.of("table", table, "part", "", "key", key, "ver", row.version);
        if (row.isDeleted) view.put("deleted", true); else view.put("value", row.value);
        return view;
    }

    private boolean handle(Http.Message request, Socket channel) throws Exception {
        String path = request.target().split("\\?")[0];
        switch (path) {
            case "/api/rows-get":
                Thread.sleep(4);
                respond(channel, 200, get(request));
                return true;
            case "/api/rows-feed":
                respond(channel, 200, feed(request));
                return true;
            case "/api/rows-tx":
                Thread.sleep(8);
                Map<String, Object> answer = transact(Json.object(request.text()));
                respond(channel, answer.containsKey("failed") ? 412 : 200, answer);
                return true;
            default:
                respond(channel, 404, Json.of());
                return true;
        }
    }

    private void respond(Socket channel, int status, Map<String, Object> body) throws Exception {
        Http.respond(channel, status, "Content-Type: application/json\r\n", Json.write(body));
    }

    private synchronized Map<String, Object> get(Http.Message request) {
        String table = request.query("table");
        String from = request.query("from");
        String to = request.query("to");
        String limitText = request.query("limit");
        int limit = limitText == null ? MAX_ROWS : Math.min(MAX_ROWS, Integer.parseInt(limitText));
        List<Object> rows = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, Row> entry : tables.getOrDefault(table, new TreeMap<>()).entrySet()) {
            String key = entry.getKey();
            if (entry.getValue().isDeleted || (from != null && key.compareTo(from) < 0)) continue;
            if (to != null && key.compareTo(to) >= 0) break;
            if (rows.size() == limit) {
                more = true;
                break;
            }
            rows.add(view(table, key, entry.getValue()));
        }
        return Json.of("rows", rows, "more_pages", more, "ver", version, "now_ms", nowMs());
    }

    private synchronized Map<String, Object> feed(Http.Message request) throws InterruptedException {
        String table = request.query("table");
        long after = Long.parseLong(request.query("after"));
        long untilMs = nowMs() + Long.parseLong(request.query("wait_ms"));
        while (true) {
            TreeMap<Long, Object> changed = new TreeMap<>();
            for (Map.Entry<String, Row> entry : tables.getOrDefault(table, new TreeMap<>()).entrySet()) {
                Row row = entry.getValue();
                // Rows of one transaction have the same version.
                if (row.version > after) changed.put(row.version * 1_000 + changed.size(), view(table, entry.getKey(), row));
            }
            long leftMs = untilMs - nowMs();
            if (!changed.isEmpty() || leftMs <= 0) {
                return Json.of("rows", new ArrayList<>(changed.values()), "ver", version, "now_ms", nowMs());
            }
            wait(leftMs);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Map<String, Object> transact(Map<String, Object> call) {
        List<Object> failed = new ArrayList<>();
        for (Object one : (List<Object>) call.getOrDefault("expected_rev", List.of())) {
            Map<String, Object> condition = (Map<String, Object>) one;
            String table = (String) condition.get("table");
            String key = (String) condition.get("key");
            Row row = find(table, key);
            long known = row == null ? 0 : row.version;
            if (known != ((Number) condition.get("ver")).longValue()) {
                if (row != null) failed.add(view(table, key, row));
                failed.add(null);
            }
        }
        if (!failed.isEmpty()) {
            failed.removeIf(java.util.Objects::isNull);
            return Json.of("failed", true, "rows", failed, "ver", version, "now_ms", nowMs());
        }
        version += 1;
        for (Object one : (List<Object>) call.getOrDefault("puts", List.of())) {
            Map<String, Object> put = (Map<String, Object>) one;
            set((String) put.get("table"), (String) put.get("key"), (String) put.get("value"), false);
        }
        for (Object one : (List<Object>) call.getOrDefault("remove", List.of())) {
            Map<String, Object> removal = (Map<String, Object>) one;
            set((String) removal.get("table"), (String) removal.get("key"), null, true);
        }
        notifyAll();
        return Json.of("ver", version, "now_ms", nowMs());
    }
}
