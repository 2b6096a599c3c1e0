import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;

/** Many callers upload bodies at the same time, in packets of usual size, while others send small bookings. */
final class Uploads {
    /** The site file has 76.1 requests a second for five entries; its largest burst is 2.4 times as many, for 9 s. */
    static final int USUAL_PER_S = 15;
    static final int BURST_PER_S = 36;
    static final int BURST_S = Integer.getInteger("burst", 9);
    static final int BODY_BYTES = Integer.getInteger("body", 100_000);
    static final int PACKET_BYTES = Integer.getInteger("packet", 1_448);
    static final int TOGETHER = Integer.getInteger("together", 12);
    static final int SINGLE = Integer.getInteger("single", 4);
    static final int PAUSE_MS = Integer.getInteger("pause", 300);
    static final int CALLERS = 8;
    static final int TIMEOUT_MS = 1_000;
    static final int LIMIT_MS = 4_000;
    private static final Map<String, Integer> uploads = new TreeMap<>();
    private static int sent;
    private static int lateAtTimeout;
    private static int lateAfterSlack;
    private static final Map<String, Integer> answers = new TreeMap<>();

    public static void main(String[] args) {
        Site.main(Path.of(args[0]), Uploads::play);
    }

    static boolean play() throws Exception {
        Site site = new Site();
        site.engine("i-1", (request, channel) -> {
            Thread.sleep(20);
            Http.respond(channel, 200, Site.answerHeaders(request) + Site.seal(request) + "Content-Type: text/plain\r\n", "done");
            return true;
        });
        site.config(7, List.of(Site.route("r-1", "/reservas/", "non_idempotent", TIMEOUT_MS), Site.route("r-2", "/rutas/", "safe", 20_000)),
            Site.limits(16_384, 4_194_304), Site.tenants());
        Site.Entry entry = site.start("front-oviedo-1");
        AtomicBoolean ended = new AtomicBoolean();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            callers.add(Http.thread(() -> book(entry, number, ended)));
        }
        Thread.sleep(3_000);
        int perSecond = Site.TROUBLE ? BURST_PER_S : USUAL_PER_S;
        Record.line("callers upload " + BODY_BYTES + " bytes each, " + perSecond + " begin in a second");
        List<Thread> uploaders = new ArrayList<>();
        for (int i = 0; i < perSecond * BURST_S; i++) {
            int number = i;
            uploaders.add(Http.thread(() -> upload(entry, number)));
            Thread.sleep(1_000 / perSecond);
        }
        for (Thread uploader : uploaders) uploader.join(45_000);
        Thread.sleep(3_000);
        ended.set(true);
        for (Thread caller : callers) caller.join(LIMIT_MS + 2_000);
        synchronized (uploads) {
            Record.line("uploads: " + uploads);
        }
        synchronized (answers) {
            Record.line(sent + " bookings sent, answers " + answers);
            Record.line(lateAtTimeout + " bookings had no answer at the route's timeout_ms, " + lateAfterSlack + " of them none half a second later");
        }
        Record.line("the entry is " + (entry.process.isAlive() ? "running" : "gone") + ", ready: " + Site.isReady(entry));
        site.close();
        return !(lateAfterSlack >= 8 && lateAfterSlack * 2 > lateAtTimeout);
    }

    /** Sends bookings on kept channels until [ended]; notes when each is answered. */
    private static void book(Site.Entry entry, int caller, AtomicBoolean ended) throws Exception {
        Socket socket = null;
        for (int number = 0; !ended.get(); number++) {
            String id = "b" + caller + "-" + number;
            byte[] body = "{\"places\":2}".getBytes();
            long startNanos = System.nanoTime();
            String result;
            try {
                if (socket == null) socket = Http.connect(entry.port);
                socket.setSoTimeout(LIMIT_MS);
                startNanos = System.nanoTime();
                socket.getOutputStream().write((Site.request("POST", "/reservas/nueva", id, LIMIT_MS, body.length) + new String(body)).getBytes());
                Http.Message answer = Http.read(socket.getInputStream());
                result = answer == null ? "channel closed" : Integer.toString(answer.status());
                if (answer == null || "close".equals(answer.headers.get("connection"))) {
                    socket.close();
                    socket = null;
                }
            } catch (IOException e) {
                result = e instanceof java.net.SocketTimeoutException ? "none in the time limit" : "channel reset";
                if (socket != null) socket.close();
                socket = null;
            }
            long ms = (System.nanoTime() - startNanos) / 1_000_000;
            synchronized (answers) {
                sent++;
                answers.merge(result, 1, Integer::sum);
                if (ms > TIMEOUT_MS) lateAtTimeout++;
                if (ms > TIMEOUT_MS + 500) {
                    lateAfterSlack++;
                    Record.line("booking " + id + ": " + result + " after " + ms + " ms");
                }
            }
            Thread.sleep(500);
        }
    }

    private static void upload(Site.Entry entry, int number) throws Exception {
        String result;
        try (Socket socket = Http.connect(entry.port)) {
            socket.setSoTimeout(30_000);
            OutputStream out = socket.getOutputStream();
            out.write(Site.request("POST", "/rutas/larga", "u" + number, 20_000, BODY_BYTES).getBytes());
            byte[] packet = new byte[TOGETHER * PACKET_BYTES];
            boolean isWhole = true;
            try {
                // As a line delivers them: some packets one by one, then a few that come together.
                for (int at = 0, step = 0; at < BODY_BYTES; step++) {
                    int count = Math.min(step % SINGLE == 0 ? TOGETHER * PACKET_BYTES : PACKET_BYTES, BODY_BYTES - at);
                    out.write(packet, 0, count);
                    at += count;
                    Thread.sleep(PAUSE_MS);
                }
            } catch (IOException e) {
                isWhole = false;
            }
            Http.Message answer = Http.read(socket.getInputStream());
            result = answer == null ? "channel closed" : answer.status() + "";
            if (!isWhole) result += " before the whole body was sent";
        } catch (IOException e) {
            result = "channel reset";
        }
        synchronized (uploads) {
            uploads.merge(result, 1, Integer::sum);
        }
    }
}
