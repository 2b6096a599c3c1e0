import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** An engine of a plain service (PROTOCOL.md, "Engines"): one request at a time on a channel, `slots` at once. */
class Engine {
    final Site site;
    final String id, service;
    final Http.Server server;
    private long sequence;
    private volatile boolean beatsAlone = true;
    /** When requests began to run, on the store's clock. */
    final java.util.List<Long> runAtMs = new java.util.concurrent.CopyOnWriteArrayList<>();
    volatile long drainingSinceMs;
    volatile long born = System.currentTimeMillis();
    volatile boolean up = true, draining;
    /** How long work takes on the machine now, in per cent; null where the engine does not state it. */
    volatile Integer workTimePct;
    volatile int workMs = 15;
    final AtomicInteger running = new AtomicInteger();
    int slots = 6;

    Engine(Site site, String id, String service) throws Exception {
        this.site = site;
        this.id = id;
        this.service = service;
        server = new Http.Server(0, this::handle);
        beat();
        Http.thread(() -> {
            while (true) {
                Thread.sleep(1200);
                if (up && beatsAlone) beat();
            }
        });
    }

    /** From now on only the case makes it report. */
    void ownBeats() { beatsAlone = false; }

    long sequence() { return sequence; }

    void beat() { site.store.put("servers", id, row()); }

    java.util.Map<String, Object> row() {
        return Json.map("service", service, "address", "127.0.0.1:" + server.port, "zone", "z1",
            "version", "v1", "slots", slots, "state", draining ? "draining" : "ready", "warmup_left_ms", 0,
            "sequence", ++sequence, "born", born);
    }

    /** The process is killed. */
    void crash() throws Exception {
        up = false;
        site.log("engine " + id + " crashes");
        server.kill();
    }

    /** The engine starts again under the id that it had, at the same address. */
    void restart() throws Exception {
        born = System.currentTimeMillis();
        sequence = 0;
        server.restart();
        up = true;
        beat();
        site.log("engine " + id + " is back, born " + born);
    }

    String load() {
        String text = running.get() + ",0," + slots;
        return workTimePct == null ? text : text + "," + workTimePct;
    }

    void handle(Http.Message request, Http.Channel channel) throws Exception {
        if (request.uri().equals("/health")) {
            channel.respond("200 OK", new byte[0], "Teaselspring-Instance-Id", id, "Teaselspring-Engine-Load", load(),
                "Keep-Alive", "timeout=10");
            return;
        }
        String expected = request.header("Teaselspring-Expect-Instance");
        String attempt = request.header("Teaselspring-Attempt-Id");
        if (expected != null && !expected.equals(id)) {
            channel.respond("421 Misdirected Request", new byte[0], "Teaselspring-Instance-Id", id,
                "Teaselspring-Not-Executed", "1", "Teaselspring-Attempt-Id", attempt);
            return;
        }
        running.incrementAndGet();
        runAtMs.add(site.store.nowMs());
        site.log("engine " + id + " runs " + attempt + " " + request.first + " tenant=" + request.header("Teaselspring-Tenant"));
        site.ran(attempt, this, request);
        try {
            work(request, channel, attempt);
        } finally {
            running.decrementAndGet();
        }
    }

    void work(Http.Message request, Http.Channel channel, String attempt) throws Exception {
        Thread.sleep(workMs);
        byte[] body = ("answer to " + attempt).getBytes(StandardCharsets.UTF_8);
        channel.respond("200 OK", body, "Teaselspring-Attempt-Id", attempt, "Teaselspring-Response-Seal", "seal-" + attempt,
            "Teaselspring-Engine-Load", load(), "Keep-Alive", "timeout=10");
    }
}
