import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * Sixteen consumers upload a body of 1,000,000 bytes at the same time; each arrives as a wide link delivers it: a
 * burst of 32 KiB, then three segments of 1,448 bytes. Other consumers send short requests to a sound engine meanwhile.
 * Without the trouble seven of these uploads come at a time.
 */
final class HangCase {
    static final int UPLOADS = 16, USUAL = 7, BODY = 1_000_000, BURST = 32_768, SEGMENT = 1_448, GAP_MS = 25;
    static final int TIMEOUT_MS = 1_000, LATE_MS = 500, PER_S = 40;

    public static void main(String[] args) { Site.play(HangCase::run); }

    static void run(Site site) throws Exception {
        Engine app = new Engine(site, "i-app", "app");
        app.slots = 64;
        Engine docs = new Engine(site, "i-docs", "docs");
        docs.slots = 64;
        site.service("app");
        site.service("docs");
        site.route("r-app", "/app/", "safe", "app").put("timeout_ms", TIMEOUT_MS);
        site.route("r-docs", "/docs/", "safe", "docs");
        for (int i = 0; i < 6; i++) site.tenants.add(Json.map("name", "tenant" + i, "api_keys", List.of("key" + i)));
        site.putConfig();
        Site.Entry entry = site.entry("front-z1-1");
        entry.awaitReady();

        List<long[]> spans = Collections.synchronizedList(new ArrayList<>());
        Map<String, Integer> ends = new ConcurrentHashMap<>();
        BlockingQueue<Http.Channel> kept = new LinkedBlockingQueue<>();
        AtomicBoolean sending = new AtomicBoolean(true);
        ExecutorService pool = Executors.newCachedThreadPool(r -> { Thread t = new Thread(r); t.setDaemon(true); return t; });
        Thread sender = Http.thread(() -> {
            for (int i = 0; sending.get(); i++) {
                String attempt = "short" + i;
                pool.submit(() -> {
                    long[] span = {System.currentTimeMillis(), Long.MAX_VALUE};
                    spans.add(span);
                    String end;
                    Http.Channel channel = kept.poll();
                    try {
                        if (channel == null) channel = new Http.Channel(new Socket("127.0.0.1", entry.front));
                        channel.socket.setSoTimeout(8000);
                        CrashCase.send(channel, "/app/a", attempt);
                        Http.Message answer = Http.read(channel.in, true, null);
                        if (answer == null) { end = "closed without an answer"; channel.close(); }
                        else {
                            end = answer.first;
                            if ("close".equalsIgnoreCase(answer.header("Connection"))) channel.close(); else kept.add(channel);
                        }
                    } catch (IOException e) {
                        end = "no answer: " + e.getMessage();
                        if (channel != null) channel.close();
                    }
                    span[1] = System.currentTimeMillis();
                    ends.merge(end, 1, Integer::sum);
                    long took = span[1] - span[0];
                    if (took > TIMEOUT_MS) site.log("consumer of " + attempt + " sees after " + took + " ms: " + end);
                });
                Thread.sleep(1000 / PER_S);
            }
        });
        Thread.sleep(3000);
        List<Future<?>> uploads = new ArrayList<>();
        for (int u = 0; u < UPLOADS; u++) {
            String attempt = "upload" + u, key = "key" + u % 6;
            Future<?> upload = pool.submit(() -> upload(site, entry, attempt, key));
            uploads.add(upload);
            // Without the burst seven of them come at a time.
            if (!site.trouble && u % USUAL == USUAL - 1) for (Future<?> one : uploads) one.get();
        }
        for (Future<?> upload : uploads) upload.get();
        Thread.sleep(2500);
        sending.set(false);
        sender.join();
        Thread.sleep(TIMEOUT_MS + LATE_MS + 500);
        long now = System.currentTimeMillis();
        int longer = 0, unanswered = 0;
        for (long[] span : spans) {
            long took = Math.min(span[1], now) - span[0];
            if (took > TIMEOUT_MS) longer++;
            if (took > TIMEOUT_MS + LATE_MS) unanswered++;
        }
        site.log(spans.size() + " short requests; ended: " + ends);
        site.log(longer + " lasted longer than their route's timeout_ms; " + unanswered + " had no final answer 0.5 s after it");
        site.end(unanswered >= 8 && unanswered > longer / 2
            ? unanswered + " of " + longer + " requests that lasted longer than their route's timeout had no answer 0.5 s after it" : null);
    }

    static Object upload(Site site, Site.Entry entry, String attempt, String key) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", entry.front)) {
            Http.Channel channel = new Http.Channel(socket);
            String result;
            try {
                channel.write("POST /docs/a HTTP/1.1\r\nHost: a.example\r\nTeaselspring-Attempt-Id: " + attempt
                    + "\r\nTeaselspring-Deadline: 8000\r\nTeaselspring-Credential: " + key + "\r\nContent-Length: " + BODY + "\r\n\r\n");
                site.log("consumer begins " + attempt);
                int left = BODY;
                while (left > 0) {
                    for (int size : new int[] {BURST, SEGMENT, SEGMENT, SEGMENT}) {
                        int piece = Math.min(left, size);
                        channel.write(new byte[piece]);
                        left -= piece;
                        Thread.sleep(GAP_MS);
                    }
                }
                socket.setSoTimeout(9000);
                Http.Message answer = Http.read(channel.in, true, null);
                result = answer == null ? "closed without an answer" : answer.first;
            } catch (IOException e) {
                try {
                    socket.setSoTimeout(500);
                    Http.Message answer = Http.read(channel.in, true, null);
                    result = answer == null ? "closed without an answer" : answer.first;
                } catch (IOException x) {
                    result = "closed without an answer: " + x.getMessage();
                }
            }
            site.log("consumer of " + attempt + " sees: " + result);
        }
        return null;
    }
}
