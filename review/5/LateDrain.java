import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An engine leaves in the planned way, one that never reports `draining`: its row is removed, and it serves on for a
 * while. Right after the store has confirmed that, the entries' open channels to the store go silent. Three seconds later
 * the entries are in touch again, and one whose poll of the engines' rows went out on a silent channel still sends
 * bookings to that engine. Those that it runs when it exits are lost.
 */
final class LateDrain {
    private static final String KEY = "n2ctnfzs989anu6wsjnb";
    private static final int ROUNDS = 6;
    private static final int ENTRIES = 3;
    private static final double CONTACT_S = 3.0;

    /** A booking is in the entry for some milliseconds; this much later it was also taken by an entry in touch. */
    private static final double TAKEN_S = 0.05;

    private static final double DRAIN_S = 2.0;
    private static final double LATEST_EXIT_S = 6.0;
    private static final int WORK_MS = 100;
    private static final int SERVES_ON_MS = 500;

    private final Record record;
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();

    /** When the open channels went silent; from CONTACT_S later on the entry is in touch. */
    private volatile double resetAt = -100;

    /** An engine of the booking service: a row in the store, refreshed every heartbeat_ms, and a server. */
    private final class Engine {
        final String id;
        final Store store;
        final Http.Server server;
        volatile double leftAt = Double.MAX_VALUE;
        volatile boolean isGone;
        private long sequence;

        Engine(String id, Store store) throws Exception {
            this.id = id;
            this.store = store;
            server = new Http.Server(this::answer);
            Http.thread(() -> {
                while (!isGone) {
                    beat();
                    Thread.sleep(1_200);
                }
            });
        }

        synchronized void beat() {
            if (leftAt < Double.MAX_VALUE) return;
            store.putQuietly("servers", id, Engines.row("taquilla", server.address(), 6, ++sequence));
        }

        synchronized void leave() {
            store.remove("servers", id);
            leftAt = record.now();
        }

        synchronized void exit() throws Exception {
            if (isGone) return;
            isGone = true;
            server.close();
            record.line(id, "exits");
        }

        private boolean answer(Http.Message request, OutputStream out) throws Exception {
            String attempt = request.headers.get("Teaselspring-Attempt-Id");
            double at = record.now();
            if (isGone) return false;
            boolean isLate = at > leftAt + DRAIN_S && at > resetAt + CONTACT_S + TAKEN_S;
            record.line(id, "runs " + attempt + (isLate ? ", LATE" : ""));
            if (isLate) {
                late.incrementAndGet();
                record.line("check", String.format(
                        "%s reaches %s %.3f s after its row was removed and %.3f s after the channels went silent",
                        attempt, id, at - leftAt, at - resetAt));
                // The engine exits "a little longer" after drain_ms, here soon after the first booking that came too late.
                if (!isGone) Http.thread(() -> {
                    Thread.sleep(SERVES_ON_MS);
                    exit();
                });
            }
            Thread.sleep(WORK_MS);
            if (isGone) {
                if (isLate) lost.incrementAndGet();
                record.line(id, "has exited and loses " + attempt);
                return false;
            }
            out.write(Http.bytes("HTTP/1.1 200 OK", Client.engineHeaders(request), "booked".getBytes()));
            out.flush();
            return !isGone;
        }
    }

    private LateDrain(Record record) {
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path work = Files.createTempDirectory("review");
        Record record = new Record(Path.of(args[0]));
        int code = 2;
        try {
            code = new LateDrain(record).run(trouble, work) ? 1 : 0;
        } catch (Exception e) {
            record.line("script", "could not run: " + e);
        }
        record.line("script", code == 1 ? "the rule was broken" : code == 0 ? "the rule held" : "the case did not run");
        record.close();
        System.exit(code);
    }

    private boolean run(boolean trouble, Path work) throws Exception {
        Store store = new Store(record);
        Cloud cloud = new Cloud(record);
        for (int i = 0; i < 2; i++) new Engine("i-stays" + i, store);
        List<?> routes = List.of(Engines.route("r-1", "/puxa403/", "non_idempotent", "taquilla", 600));
        store.put("op", "config", Engines.config(7, routes, List.of("taquilla"), List.of(Engines.tenant("hule930", KEY))));
        List<SilentLink> links = new ArrayList<>();
        for (int e = 0; e < ENTRIES; e++) {
            SilentLink link = new SilentLink(record, store.address());
            links.add(link);
            Entry entry = new Entry("front-" + e, record, work, link.address(), cloud.address()).start().awaitReady();
            for (int caller = 0; caller < 3; caller++) {
                String name = "booking-" + e + "-" + caller + "-";
                Http.thread(() -> {
                    for (int i = 0; ; i++) {
                        Client.post(record, entry.callers, "/puxa403/2f", name + i, KEY, 600);
                        Thread.sleep(20);
                    }
                });
            }
        }
        for (int round = 0; round < ROUNDS; round++) {
            Engine leaves = new Engine("i-leaves" + round, store);
            Thread.sleep(4_000 + 230 * round);
            leaves.leave();
            Thread.sleep(20);
            if (trouble) {
                resetAt = record.now();
                links.forEach(SilentLink::silenceOpenChannels);
            }
            Thread.sleep(Math.round(LATEST_EXIT_S * 1000));
            leaves.exit();
            Thread.sleep(1_500);
        }
        record.line("check", late + " bookings reached an engine too late; " + lost + " of them were lost as it exited");
        return late.get() > 0;
    }
}
