import java.util.*;

/**
 * The operator takes a key from one tenant and gives it to another, while the store turns one of three machines away. A
 * consumer goes on sending the key to each of them, on a route that needs one and on a public one.
 */
final class TenantCase {
    static final int REVOKE_MS = 5000;

    public static void main(String[] args) { Site.play(TenantCase::run); }

    static void run(Site site) throws Exception {
        new Engine(site, "i-app", "app");
        site.service("app");
        site.route("r-app", "/app/", "safe", "app");
        site.route("r-open", "/open/", "safe", "app").put("public", true);
        site.tenants.add(Json.map("name", "tenant1", "api_keys", List.of("key1")));
        site.tenants.add(Json.map("name", "tenant2", "api_keys", List.of("key2")));
        site.putConfig();
        Site.Entry[] entries = {
            site.entry("front-z1-1", site.store.otherWay.port), site.entry("front-z1-2"), site.entry("front-z1-3")};
        for (Site.Entry entry : entries) entry.awaitReady();
        Thread.sleep(3000);
        for (Site.Entry entry : entries) {
            call(site, entry, "/app/a", "before-app-" + entry.name);
            call(site, entry, "/open/a", "before-open-" + entry.name);
        }
        if (site.trouble) {
            site.store.silent = true;
            site.log("the store turns front-z1-1 away: no answer");
        }
        site.tenants.set(0, Json.map("name", "tenant1", "api_keys", List.of()));
        site.tenants.set(1, Json.map("name", "tenant2", "api_keys", List.of("key2", "key1")));
        site.putConfig();
        long confirmedMs = System.currentTimeMillis();
        int wrong = 0;
        Thread.sleep(REVOKE_MS + 200);
        for (int i = 0; i < 8; i++) {
            long sentMs = System.currentTimeMillis() - confirmedMs;
            for (Site.Entry entry : entries) for (String kind : List.of("app", "open")) {
                String attempt = kind + i + "-" + entry.name;
                call(site, entry, "/" + kind + "/a", attempt);
                if ("tenant1".equals(site.tenantOf.get(attempt))) {
                    site.log(attempt + ", sent " + sentMs + " ms after the confirmation, ran as tenant1; its key is tenant2's");
                    wrong++;
                }
            }
            Thread.sleep(250);
        }
        site.store.silent = false;
        site.log("the store serves the machine again");
        site.end(wrong > 0 ? wrong + " requests ran as a tenant that had lost their key over revoke_ms before" : null);
    }

    static void call(Site site, Site.Entry entry, String uri, String attempt) {
        Http.Message answer = Http.call(entry.front, Http.request("GET", uri, new byte[0], Site.headers(attempt, "key1")), 3000);
        site.log("consumer of " + attempt + " sees " + (answer == null ? "nothing" : answer.first) + "; tenant at the engine: " + site.tenantOf.get(attempt));
    }
}
