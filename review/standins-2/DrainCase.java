import java.util.*;
import java.util.concurrent.*;

/**
 * Two of five engines report that they are draining. A report from just before, which said `ready` and got no answer
 * from the store, is performed 2.9 s after it was sent, as the store may do. The next report says `draining` again.
 */
final class DrainCase {
    static final long DRAIN_MS = 2000;

    public static void main(String[] args) { Site.play(DrainCase::run); }

    static void run(Site site) throws Exception {
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < 5; i++) engines.add(new Engine(site, "i-app" + i, "app"));
        for (Engine e : engines) { e.workMs = 300; e.slots = 16; }
        site.service("app");
        site.route("r-app", "/app/", "non_idempotent", "app");
        site.tenants.add(Json.map("name", "tenant1", "api_keys", List.of("key1")));
        site.putConfig();
        Site.Entry entry = site.entry("front-z1-1");
        entry.awaitReady();
        Map<String, String> answers = new ConcurrentHashMap<>();
        Http.thread(() -> {
            for (int i = 0; ; i++) {
                String attempt = "booking" + i;
                Http.thread(() -> {
                    Http.Message answer = Http.call(entry.front, Http.request("POST", "/app/a", new byte[40], Site.headers(attempt, "key1")), 3000);
                    String end = answer == null ? "no answer" : answer.first;
                    answers.put(attempt, end);
                    if (!end.contains(" 200 ")) site.log("consumer of " + attempt + " sees " + end);
                });
                Thread.sleep(20);
            }
        });
        Thread.sleep(5000);

        Engine[] leaving = {engines.get(0), engines.get(1)};
        for (Engine e : leaving) {
            // The two leave 0.6 s apart.
            long offset = e == leaving[0] ? 0 : 600;
            Http.thread(() -> {
                Thread.sleep(offset);
                e.ownBeats();
                Map<String, Object> ready = e.row();
                site.log("engine " + e.id + " reports ready, sequence " + ready.get("sequence")
                    + (site.trouble ? "; the store gives no answer" : ""));
                if (!site.trouble) site.store.put("servers", e.id, ready);
                Thread.sleep(400);
                e.draining = true;
                e.beat();
                site.log("engine " + e.id + " reports draining, sequence " + e.sequence() + "; the store confirms it");
                if (site.trouble) {
                    Http.thread(() -> {
                        Thread.sleep(2500);
                        site.store.put("servers", e.id, ready);
                        site.log("the store performs the report of sequence " + ready.get("sequence") + " of " + e.id
                            + ", 2.9 s after it was sent");
                    });
                }
                for (int i = 0; i < 3; i++) {
                    Thread.sleep(1200);
                    e.beat();
                    site.log("engine " + e.id + " reports draining, sequence " + e.sequence());
                }
                // It has served for drain_ms and 2.2 s.
                Thread.sleep(600);
                site.store.put("servers", e.id, null);
                e.up = false;
                e.server.kill();
                site.log("engine " + e.id + " has exited");
            });
        }
        Thread.sleep(8000);
        int late = 0;
        for (Engine e : leaving) {
            Long acknowledged = site.store.shownAtMs.get(e.id + " draining");
            if (acknowledged == null) throw new IllegalStateException("the entry never read that " + e.id + " is draining");
            int count = 0;
            for (long at : e.runAtMs) if (at > acknowledged + DRAIN_MS) count++;
            site.log("engine " + e.id + ": the entry read `draining` at " + acknowledged + " ms of the store's clock; " + count
                + " requests reached the engine more than " + DRAIN_MS + " ms later");
            late += count;
        }
        int lost = 0;
        for (String attempt : site.runs.keySet()) if (!answers.getOrDefault(attempt, "200 still running").contains("200 ")) lost++;
        site.log(lost + " bookings ran and got no success");
        site.end(late > 0 ? late + " requests reached draining engines over drain_ms after the entry had acknowledged it" : null);
    }
}
