import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;

/**
 * Five callers of five tenants have sent large bodies and wait for a slow answer; 70 streams with bodies of 60,000 bytes
 * begin beside them. The engines end all streams within about two seconds. The process gets a planned SIGTERM.
 */
final class StopCase {
    static final int LARGE = 5, LARGE_BODY = 4_190_000, LARGE_WORK_MS = 8_200, STREAMS = 70, STREAM_BODY = 60_000;

    public static void main(String[] args) { Site.play(StopCase::run); }

    static void run(Site site) throws Exception {
        for (int i = 0; i < 3; i++) new StreamEngine(site, "i-llm" + i, "llm");
        Engine docs = new Engine(site, "i-docs", "docs");
        docs.workMs = LARGE_WORK_MS;
        site.service("llm");
        site.service("docs");
        Map<String, Object> streaming = site.route("r-llm", "/llm/", "streaming", "llm");
        streaming.put("timeout_ms", 12000);
        streaming.put("target_latency_ms", 2027);
        streaming.put("gap_target_ms", 1000);
        site.route("r-docs", "/docs/", "safe", "docs").put("timeout_ms", 12000);
        for (int i = 0; i < 9; i++) site.tenants.add(Json.map("name", "tenant" + i, "api_keys", List.of("key" + i)));
        site.putConfig();
        Site.Entry entry = site.entry("front-z1-1");
        entry.awaitReady();
        Thread.sleep(4000);

        ExecutorService pool = Executors.newCachedThreadPool(r -> { Thread t = new Thread(r); t.setDaemon(true); return t; });
        List<Future<String>> large = new ArrayList<>(), streams = new ArrayList<>();
        for (int i = 0; i < LARGE; i++) large.add(call(pool, site, entry, "/docs/a", "large" + i, "key" + i, LARGE_BODY));
        for (int i = 0; i < 100 && site.runs.size() < LARGE; i++) Thread.sleep(10);
        if (site.runs.size() < LARGE) throw new IllegalStateException("only " + site.runs.size() + " large requests run");
        long sentMs = System.currentTimeMillis();
        for (int i = 0; i < STREAMS; i++) {
            streams.add(call(pool, site, entry, "/llm/a", "stream" + i, "key" + (5 + i % 4), STREAM_BODY));
            Thread.sleep(3);
        }
        Thread.sleep(Math.max(0, sentMs + 300 - System.currentTimeMillis()));
        if (site.trouble) entry.signal("TERM");
        int lost = 0;
        for (int i = 0; i < STREAMS; i++) {
            String end = streams.get(i).get();
            if (!end.endsWith("whole") && site.runs.containsKey("stream" + i)) lost++;
        }
        for (Future<String> one : large) one.get();
        site.end(lost > 0 ? lost + " streams that a sound engine had ended seconds before were cut at a planned stop" : null);
    }

    static Future<String> call(ExecutorService pool, Site site, Site.Entry entry, String uri, String attempt, String key, int size) {
        return pool.submit(() -> {
            long sentMs = System.currentTimeMillis();
            String end;
            try (Socket socket = new Socket("127.0.0.1", entry.front)) {
                Http.Channel channel = new Http.Channel(socket);
                socket.setSoTimeout(14000);
                channel.write(Http.request("POST", uri, new byte[size], "Host", "a.example", "Teaselspring-Attempt-Id", attempt,
                    "Teaselspring-Deadline", "12000", "Teaselspring-Credential", key));
                Http.Message answer = Http.read(channel.in, true, null);
                end = answer == null ? "channel closed without an answer" : answer.first + ", " + answer.end;
            } catch (IOException e) {
                end = "channel closed without an answer: " + e.getMessage();
            }
            site.log("consumer of " + attempt + " sees after " + (System.currentTimeMillis() - sentMs) + " ms: " + end);
            return end;
        });
    }
}
