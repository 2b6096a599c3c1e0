import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store: rows-tx, rows-get and rows-feed as PROTOCOL.md says, in one part, with a full history. */
final class Store {
    private static final long ANSWER_MS = 4;

    private final Record record;
    private final Http.Server server;
    private final long startNs = System.nanoTime();
    private final Map<String, Map<String, Object>> rows = new TreeMap<>();
    private final List<Map<String, Object>> history = new ArrayList<>();
    private long version;

    Store(Record record) throws Exception {
        this.record = record;
        server = new Http.Server(this::answer);
    }

    String address() {
        return server.address();
    }

    /** Writes a row as the operator or an engine does; the return is the confirmation. */
    synchronized void put(String table, String key, Object value) {
        putQuietly(table, key, value);
        record.line("store", "confirmed " + table + "/" + key + " " + Json.text(value));
    }

    /** Writes a row without a line in the record. */
    synchronized void putQuietly(String table, String key, Object value) {
        String text = Json.text(value);
        apply(table, key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), ++version);
        notifyAll();
    }

    synchronized void remove(String table, String key) {
        apply(table, key, null, ++version);
        notifyAll();
        record.line("store", "removed " + table + "/" + key);
    }

    private long nowMs() {
        return 1_000 + (System.nanoTime() - startNs) / 1_000_000;
    }

    private void apply(String table, String key, String value, long ver) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("table", table);
        row.put("part", "");
        row.put("key", key);
        if (value == null) row.put("deleted", true);
        else row.put("value", value);
        row.put("ver", ver);
        String id = table + "\u0000" + key;
        if (value == null) rows.remove(id);
        else rows.put(id, row);
        history.add(row);
    }

    private boolean answer(Http.Message request, OutputStream out) throws Exception {
        String path = request.target().split("\\?")[0];
        byte[] answer;
        switch (path) {
            case "/api/rows-tx":
                answer = transact(Json.object(request.text()));
                break;
            case "/api/rows-get":
                answer = range(query(request));
                break;
            case "/api/rows-feed":
                answer = feed(query(request));
                break;
            default:
                answer = Http.json(404, Map.of());
        }
        Thread.sleep(ANSWER_MS);
        out.write(answer);
        out.flush();
        return true;
    }

    private static Map<String, String> query(Http.Message request) {
        Map<String, String> found = new LinkedHashMap<>();
        for (String pair : request.target().substring(request.target().indexOf('?') + 1).split("&")) {
            int equals = pair.indexOf('=');
            found.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return found;
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> list(Map<String, Object> from, String name) {
        Object found = from.get(name);
        return found == null ? List.of() : (List<Map<String, Object>>) found;
    }

    private synchronized byte[] transact(Map<String, Object> body) {
        for (Map<String, Object> condition : list(body, "expected_rev")) {
            Map<String, Object> row = rows.get(condition.get("table") + "\u0000" + condition.get("key"));
            long found = row == null ? 0 : (Long) row.get("ver");
            if (found != (Long) condition.get("ver")) {
                return response(412, row == null ? List.of() : List.of(row), false);
            }
        }
        long next = ++version;
        for (Map<String, Object> put : list(body, "puts")) {
            apply((String) put.get("table"), (String) put.get("key"), (String) put.get("value"), next);
        }
        for (Map<String, Object> removal : list(body, "remove")) {
            apply((String) removal.get("table"), (String) removal.get("key"), null, next);
        }
        notifyAll();
        return response(200, List.of(), false);
    }

    private synchronized byte[] range(Map<String, String> query) {
        int limit = Math.min(500, Integer.parseInt(query.getOrDefault("limit", "500")));
        List<Map<String, Object>> found = new ArrayList<>();
        boolean more = false;
        for (Map<String, Object> row : rows.values()) {
            String key = (String) row.get("key");
            boolean fits =
                    row.get("table").equals(query.get("table"))
                            && (!query.containsKey("from") || key.compareTo(query.get("from")) >= 0)
                            && (!query.containsKey("to") || key.compareTo(query.get("to")) < 0);
            if (!fits) continue;
            if (found.size() == limit) more = true;
            else found.add(row);
        }
        return response(200, found, more);
    }

    private synchronized byte[] feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long endNs = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        while (true) {
            List<Map<String, Object>> changed = new ArrayList<>();
            for (Map<String, Object> row : history) {
                if (row.get("table").equals(query.get("table")) && (Long) row.get("ver") > after) changed.add(row);
            }
            long leftMs = (endNs - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || leftMs <= 0) return response(200, changed, false);
            wait(leftMs);
        }
    }

    private byte[] response(int status, List<Map<String, Object>> found, boolean more) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("rows", found);
        body.put("more_pages", more);
        body.put("ver", version);
        body.put("now_ms", nowMs());
        return Http.json(status, body);
    }
}
