import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** An engine leaves without `draining`: its row is removed. The store performs its last report after that. */
final class LateBeat {
    static final int CALLERS = 6;
    static final int TIMEOUT_MS = 2_000;
    static final int DRAIN_MS = 2_000;
    /** An entry polls the rows at most 1.4 s apart; it shows by sending nothing more that it has read the removal. */
    static final int ACKNOWLEDGED_MS = 1_500;
    static final int LATE_AFTER_REMOVAL_MS = 2_500;
    static final int EXIT_AFTER_REMOVAL_MS = 5_200;
    static final int ROW_LIFETIME_MS = 3_600;
    private static final Map<String, Long> sentNanos = new ConcurrentHashMap<>();
    private static final Map<String, Integer> answers = new TreeMap<>();
    private static volatile long removedNanos;
    private static volatile long lastBeforeLateNanos;
    private static volatile boolean isLateWritten;
    private static volatile boolean isGone;
    private static volatile boolean ended;
    private static int lateArrivals;
    private static int lostBookings;

    public static void main(String[] args) {
        Site.main(Path.of(args[0]), LateBeat::play);
    }

    static boolean play() throws Exception {
        Site site = new Site();
        List<Socket> channels = new ArrayList<>();
        int port = Http.serve((request, channel) -> {
            synchronized (channels) {
                channels.add(channel);
            }
            if (isGone) return false;
            String id = request.headers.get("teaselspring-attempt-id");
            if (id == null) {
                Http.respond(channel, 200, "Teaselspring-Instance-Id: i-1\r\n", "{}");
                return true;
            }
            arrived(id);
            Thread.sleep(60);
            Http.respond(channel, 200, Site.answerHeaders(request) + Site.seal(request) + "Content-Type: text/plain\r\n", "done");
            return true;
        });
        site.engine("i-2", (request, channel) -> {
            Thread.sleep(60);
            Http.respond(channel, 200, Site.answerHeaders(request) + Site.seal(request) + "Content-Type: text/plain\r\n", "done");
            return true;
        });
        long born = System.currentTimeMillis();
        Map<String, Object> row = Json.of("service", "taquilla", "address", "127.0.0.1:" + port, "zone", "oviedo", "version", 1,
            "slots", 6, "state", "ready", "warmup_left_ms", 0, "sequence", 1L, "born", born);
        site.store.put("servers", "i-1", new TreeMap<>(row));
        site.config(7, List.of(Site.route("r-1", "/reservas/", "non_idempotent", TIMEOUT_MS)), Site.limits(16_384, 4_194_304), Site.tenants());
        Site.Entry entry = site.start("front-oviedo-1");
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            callers.add(Http.thread(() -> call(entry, number)));
        }
        for (long sequence = 2; sequence <= 4; sequence++) {
            Thread.sleep(1_200);
            row.put("sequence", sequence);
            site.store.put("servers", "i-1", new TreeMap<>(row));
        }
        // The next report, 1.2 s later, gets no answer; the store performs it 3.5 s late.
        Thread.sleep(1_200);
        Record.line("report 5 of engine i-1 gets no answer from the store");
        Thread.sleep(1_000);
        site.store.remove("servers", "i-1");
        removedNanos = System.nanoTime();
        Record.line("the row of engine i-1 is removed; it serves on for some seconds");
        Thread.sleep(LATE_AFTER_REMOVAL_MS);
        if (Site.TROUBLE) {
            row.put("sequence", 5L);
            site.store.put("servers", "i-1", new TreeMap<>(row));
            Record.line("the store performs report 5");
            Http.thread(() -> {
                Thread.sleep(ROW_LIFETIME_MS);
                site.store.remove("servers", "i-1");
                Record.line("the row lapses after three intervals of silence");
            });
        }
        isLateWritten = true;
        Thread.sleep(EXIT_AFTER_REMOVAL_MS - LATE_AFTER_REMOVAL_MS);
        isGone = true;
        Record.line("engine i-1 exits");
        synchronized (channels) {
            for (Socket channel : channels) channel.close();
        }
        Thread.sleep(3_000);
        ended = true;
        for (Thread caller : callers) caller.join(4_000);
        synchronized (answers) {
            Record.line("answers " + answers);
        }
        Record.line("before the late report the last request reached i-1 " + ms(lastBeforeLateNanos - removedNanos) + " ms after the removal");
        if (lastBeforeLateNanos - removedNanos > ACKNOWLEDGED_MS * 1_000_000L) throw new IllegalStateException("the removal was not read in time");
        Record.line(lateArrivals + " bookings reached i-1 more than " + (ACKNOWLEDGED_MS + DRAIN_MS) + " ms after the removal, " + lostBookings + " bookings got no success");
        site.close();
        return lateArrivals == 0;
    }

    private static long ms(long nanos) {
        return nanos / 1_000_000;
    }

    private static synchronized void arrived(String id) {
        long now = System.nanoTime();
        if (removedNanos == 0) return;
        if (!isLateWritten) {
            lastBeforeLateNanos = now;
            return;
        }
        if (now - removedNanos > (ACKNOWLEDGED_MS + DRAIN_MS) * 1_000_000L) {
            lateArrivals++;
            Record.line("booking " + id + " reaches i-1 " + ms(now - removedNanos) + " ms after the removal, sent " + ms(now - sentNanos.get(id)) + " ms before");
        }
    }

    private static void call(Site.Entry entry, int caller) throws Exception {
        for (int number = 0; !ended; number++) {
            String id = "b" + caller + "-" + number;
            byte[] body = "{\"places\":2}".getBytes();
            String result;
            try (Socket socket = Http.connect(entry.port)) {
                socket.setSoTimeout(3_000);
                sentNanos.put(id, System.nanoTime());
                socket.getOutputStream().write((Site.request("POST", "/reservas/nueva", id, 2_500, body.length) + new String(body)).getBytes());
                Http.Message answer = Http.read(socket.getInputStream());
                result = answer == null ? "channel closed" : Integer.toString(answer.status());
            } catch (IOException e) {
                result = "none";
            }
            synchronized (answers) {
                answers.merge(result, 1, Integer::sum);
                if (!result.equals("200")) {
                    lostBookings++;
                    Record.line("booking " + id + ": " + result);
                }
            }
            Thread.sleep(40);
        }
    }
}
