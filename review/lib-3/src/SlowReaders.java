import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Callers that read a large answer steadily but slowly while their entry gets a SIGTERM. */
final class SlowReaders {
    static final int CALLERS = 3;
    static final int BODY_BYTES = Integer.getInteger("body", 4_400_000);
    static final int BYTES_A_SECOND = Integer.getInteger("rate", 300_000);
    static final int RECEIVE_BUFFER_BYTES = 64 * 1024;
    static final int STEP_MS = 50;
    static final int LIMIT_MS = 40_000;

    public static void main(String[] args) {
        Site.main(Path.of(args[0]), SlowReaders::play);
    }

    static boolean play() throws Exception {
        Site site = new Site();
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'b');
        site.engine("i-1", (request, channel) -> {
            Record.line("engine runs " + request.headers.get("teaselspring-attempt-id"));
            Http.respond(channel, 200, Site.answerHeaders(request) + Site.seal(request) + "Content-Type: text/plain\r\n", body);
            return true;
        });
        site.config(7, List.of(Site.route("r-1", "/reservas/", "non_idempotent", LIMIT_MS)), Site.limits(16_384, 4_194_304), Site.tenants());
        Site.Entry entry = site.start("front-oviedo-1");
        List<Thread> callers = new ArrayList<>();
        int[] received = new int[CALLERS];
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            callers.add(Http.thread(() -> received[number] = call(entry, "c" + number)));
        }
        Thread.sleep(1_000);
        if (Site.TROUBLE) {
            Site.signal(entry, "TERM");
            Http.thread(() -> {
                entry.process.waitFor();
                Record.line("the entry has ended with code " + entry.process.exitValue());
            });
            // The platform sends SIGKILL after grace_s.
            Http.thread(() -> {
                Thread.sleep(8_000);
                if (entry.process.isAlive()) Site.signal(entry, "KILL");
            });
        }
        for (Thread caller : callers) caller.join();
        int whole = 0;
        for (int count : received) if (count == BODY_BYTES) whole++;
        Record.line(whole + " of " + CALLERS + " answers were whole");
        site.close();
        return whole == CALLERS;
    }

    /** Sends a request and reads its answer at a steady pace; returns the bytes of the body that came. */
    private static int call(Site.Entry entry, String id) throws Exception {
        try (Socket socket = Http.connect(entry.port, RECEIVE_BUFFER_BYTES)) {
            byte[] order = "{\"places\":2}".getBytes();
            socket.getOutputStream().write(Site.request("POST", "/reservas/nueva", id, LIMIT_MS, order.length).getBytes());
            socket.getOutputStream().write(order);
            long sentNanos = System.nanoTime();
            Record.line("caller sends " + id);
            InputStream in = socket.getInputStream();
            Http.Message head = Http.head(in);
            int length = Integer.parseInt(head.headers.get("content-length"));
            byte[] buffer = new byte[BYTES_A_SECOND * STEP_MS / 1_000];
            int total = 0;
            String end = "the end of the channel";
            try {
                while (total < length) {
                    int count = in.readNBytes(buffer, 0, Math.min(buffer.length, length - total));
                    total += count;
                    if (count == 0) break;
                    Thread.sleep(STEP_MS);
                }
            } catch (java.io.IOException e) {
                end = e.toString();
            }
            String result = total == length ? "whole" : "CUT by " + end;
            Record.line(String.format("caller %s got %s, %d of %d bytes, %.1f s after it had sent the request", id, head.first, total, length, (System.nanoTime() - sentNanos) / 1e9));
            return total;
        }
    }
}
