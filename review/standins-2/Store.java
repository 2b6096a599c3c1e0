import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.*;

/** The platform's metadata store in the form of tables (PROTOCOL.md), linearizable, all its rows in memory. */
final class Store {
    private static final class Row {
        final String table, part, key;
        String value;
        long version;
        Row(String table, String part, String key) { this.table = table; this.part = part; this.key = key; }
    }

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private long version = 1;
    private final long startNs = System.nanoTime();
    final Http.Server server;

    /** The way to the store of the machines that it may turn away. */
    final Http.Server otherWay;

    /** While true, calls over the other way get no answer and do nothing: the store turns these machines away. */
    volatile boolean silent;

    Store() throws Exception {
        server = new Http.Server(0, (request, channel) -> handle(request, channel, false));
        otherWay = new Http.Server(0, (request, channel) -> handle(request, channel, true));
    }

    private static String id(String table, String part, String key) { return table + "\u0000" + part + "\u0000" + key; }

    long nowMs() { return (System.nanoTime() - startNs) / 1_000_000; }

    /** A write by the operator or by an engine; null deletes the row. */
    synchronized long put(String table, String key, Object value) {
        version++;
        Row row = rows.computeIfAbsent(id(table, "", key), k -> new Row(table, "", key));
        row.value = value == null ? null
            : Base64.getEncoder().encodeToString(Json.write(value).getBytes(StandardCharsets.UTF_8));
        row.version = version;
        notifyAll();
        return version;
    }

    synchronized String text(String table, String key) {
        Row row = rows.get(id(table, "", key));
        return row == null || row.value == null ? null
            : new String(Base64.getDecoder().decode(row.value), StandardCharsets.UTF_8);
    }

    private void handle(Http.Message request, Http.Channel channel, boolean isOther) throws Exception {
        if (isOther && silent) { while (silent) Thread.sleep(20); channel.reset(); return; }
        Thread.sleep(4);
        String path = request.uri().split("\\?")[0];
        Map<String, String> query = new HashMap<>();
        if (request.uri().contains("?")) {
            for (String pair : request.uri().split("\\?", 2)[1].split("&")) {
                String[] kv = pair.split("=", 2);
                query.put(kv[0], URLDecoder.decode(kv.length > 1 ? kv[1] : "", StandardCharsets.UTF_8));
            }
        }
        switch (path) {
            case "/api/rows-get": channel.json(200, get(query)); break;
            case "/api/rows-feed": feed(query, channel, isOther); break;
            case "/api/rows-tx": Thread.sleep(4); transact(request, channel); break;
            default: channel.json(404, Json.map());
        }
    }

    private synchronized Map<String, Object> get(Map<String, String> query) {
        List<Object> found = new ArrayList<>();
        int limit = Math.min(500, Integer.parseInt(query.getOrDefault("limit", "500")));
        boolean more = false;
        for (Row row : rows.values()) {
            if (row.value == null || !row.table.equals(query.get("table")) || !row.part.equals(query.getOrDefault("part", ""))) continue;
            if (query.containsKey("from") && row.key.compareTo(query.get("from")) < 0) continue;
            if (query.containsKey("to") && row.key.compareTo(query.get("to")) >= 0) continue;
            if (found.size() == limit) { more = true; break; }
            found.add(shown(row));
        }
        return Json.map("rows", found, "more_pages", more, "ver", version, "now_ms", nowMs());
    }

    /** When a state of an engine was first read by an entry, by "ID STATE", on the store's clock. */
    final Map<String, Long> shownAtMs = new java.util.concurrent.ConcurrentHashMap<>();

    private Map<String, Object> shown(Row row) {
        if (row.table.equals("servers") && row.value != null) {
            Map<?, ?> value = (Map<?, ?>) Json.parse(new String(Base64.getDecoder().decode(row.value), StandardCharsets.UTF_8));
            shownAtMs.putIfAbsent(row.key + " " + value.get("state"), nowMs());
        }
        Map<String, Object> map = Json.map("table", row.table, "part", row.part, "key", row.key);
        if (row.value == null) map.put("deleted", true); else map.put("value", row.value);
        map.put("ver", row.version);
        return map;
    }

    private String lastFeed = "";

    /** Waits for the next call on the feed of [table]; returns its time on the store's clock. */
    long awaitFeed(String table) throws Exception {
        synchronized (server) { lastFeed = ""; }
        while (true) {
            synchronized (server) { if (lastFeed.equals(table)) return nowMs(); lastFeed = ""; }
            Thread.sleep(2);
        }
    }

    private void feed(Map<String, String> query, Http.Channel channel, boolean isOther) throws Exception {
        synchronized (server) { lastFeed = query.get("table"); }
        long after = Long.parseLong(query.get("after"));
        long until = System.currentTimeMillis() + Math.min(30_000, Long.parseLong(query.getOrDefault("wait_ms", "0")));
        Map<String, Object> answer;
        synchronized (this) {
            List<Row> changed;
            while (true) {
                changed = new ArrayList<>();
                for (Row row : rows.values()) if (row.table.equals(query.get("table")) && row.version > after) changed.add(row);
                long left = until - System.currentTimeMillis();
                if (!changed.isEmpty() || left <= 0) break;
                wait(left);
            }
            changed.sort(Comparator.comparingLong(r -> r.version));
            List<Object> shown = new ArrayList<>();
            for (Row row : changed) shown.add(shown(row));
            answer = Json.map("rows", shown, "ver", version, "now_ms", nowMs());
        }
        if (isOther && silent) { while (silent) Thread.sleep(20); channel.reset(); return; }
        channel.json(200, answer);
    }

    @SuppressWarnings("unchecked")
    private void transact(Http.Message request, Http.Channel channel) throws Exception {
        Map<String, Object> call = (Map<String, Object>) Json.parse(request.text());
        Map<String, Object> answer;
        int status = 200;
        synchronized (this) {
            List<Object> current = new ArrayList<>();
            boolean holds = true;
            for (Object o : (List<Object>) call.getOrDefault("expected_rev", List.of())) {
                Map<String, Object> e = (Map<String, Object>) o;
                Row row = rows.get(id(text(e, "table"), text(e, "part"), text(e, "key")));
                long is = row == null || row.value == null ? 0 : row.version;
                if (is != ((Number) e.get("ver")).longValue()) holds = false;
                if (row != null && row.value != null) current.add(shown(row));
            }
            if (holds) {
                version++;
                for (Object o : (List<Object>) call.getOrDefault("puts", List.of())) {
                    Map<String, Object> e = (Map<String, Object>) o;
                    write(e, text(e, "value"));
                }
                for (Object o : (List<Object>) call.getOrDefault("remove", List.of())) write((Map<String, Object>) o, null);
                notifyAll();
                answer = Json.map("ver", version, "now_ms", nowMs());
            } else {
                status = 412;
                answer = Json.map("rows", current, "ver", version, "now_ms", nowMs());
            }
        }
        channel.json(status, answer);
    }

    private void write(Map<String, Object> entry, String value) {
        String table = text(entry, "table"), part = text(entry, "part"), key = text(entry, "key");
        Row row = rows.computeIfAbsent(id(table, part, key), k -> new Row(table, part, key));
        row.value = value;
        row.version = version;
    }

    private static String text(Map<String, Object> map, String key) {
        Object value = map.get(key);
        return value == null ? "" : value.toString();
    }
}
