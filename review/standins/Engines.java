import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Rows that engines and the operator write into the store, in the form of the examples of `fleetbench wire`. */
final class Engines {
    private Engines() {}

    /** The row of a ready engine. */
    static Map<String, Object> row(String service, String address, int slots, long sequence) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("service", service);
        row.put("address", address);
        row.put("zone", "oviedo");
        row.put("version", "v1");
        row.put("slots", slots);
        row.put("state", "ready");
        row.put("warmup_left_ms", 0);
        row.put("sequence", sequence);
        return row;
    }

    static Map<String, Object> route(String name, String prefix, String type, String service, int timeoutMs) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", name);
        route.put("host", "ficu95.example");
        route.put("prefix", prefix);
        route.put("type", type);
        route.put("timeout_ms", timeoutMs);
        route.put("target_latency_ms", 1500);
        route.put("priority", 2);
        route.put("service", service);
        route.put("max_attempts", 1);
        route.put("public", false);
        return route;
    }

    static Map<String, Object> tenant(String name, String... keys) {
        Map<String, Object> tenant = new LinkedHashMap<>();
        tenant.put("name", name);
        tenant.put("api_keys", List.of(keys));
        return tenant;
    }

    static Map<String, Object> config(long version, List<?> routes, List<String> services, List<?> tenants) {
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("version", version);
        config.put("routes", routes);
        config.put(
                "services",
                services.stream()
                        .map(name -> Map.of("name", name, "health_check", "/health", "max_connections", 110, "protocol", "h1", "tls", false))
                        .toList());
        Map<String, Object> limits = new LinkedHashMap<>();
        limits.put("max_header_bytes", 16384);
        limits.put("max_body_bytes", 4194304);
        limits.put("header_timeout_ms", 3000);
        limits.put("idle_timeout_ms", 15000);
        config.put("limits", limits);
        config.put("tenants", tenants);
        return config;
    }

    /** Keeps the row of a ready engine fresh, as its status reports every heartbeat_ms do. */
    static void beat(Store store, String id, String service, String address, int slots) {
        Http.thread(
                () -> {
                    for (long sequence = 1; ; sequence++) {
                        store.putQuietly("servers", id, row(service, address, slots, sequence));
                        Thread.sleep(1_200);
                    }
                });
    }
}
