import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A config raises the limit of bodies while callers keep their channels. */
final class Limits {
    static final int CALLERS = 12;
    static final int SMALL_BYTES = 10_000;
    static final int LARGE_BYTES = 100_000;
    private static final Map<String, Integer> answers = new TreeMap<>();
    private static int sent;
    private static int denied;
    private static volatile long largeFromNanos = Long.MAX_VALUE;
    private static volatile boolean ended;

    public static void main(String[] args) {
        Site.main(Path.of(args[0]), Limits::play);
    }

    static boolean play() throws Exception {
        Site site = new Site();
        site.engine("i-1", (request, channel) -> {
            Thread.sleep(10);
            Http.respond(channel, 200, Site.answerHeaders(request) + Site.seal(request) + "Content-Type: text/plain\r\n", "done");
            return true;
        });
        List<Object> routes = List.of(Site.route("r-1", "/reservas/", "non_idempotent", 5_000));
        int first = Site.TROUBLE ? 65_536 : 4_194_304;
        site.config(7, routes, Site.limits(16_384, first), Site.tenants());
        Site.Entry entry = site.start("front-oviedo-1");
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            callers.add(Http.thread(() -> call(entry, number)));
        }
        Thread.sleep(3_000);
        site.config(8, routes, Site.limits(16_384, 4_194_304), Site.tenants());
        // Larger bodies are sent only five seconds after the confirmation; config_ms is two.
        Thread.sleep(5_000);
        Record.line("bodies of " + LARGE_BYTES + " bytes from now on");
        largeFromNanos = System.nanoTime();
        Thread.sleep(6_000);
        ended = true;
        for (Thread caller : callers) caller.join(6_000);
        synchronized (answers) {
            Record.line(sent + " requests, answers " + answers);
            Record.line(denied + " proper requests were ended with a 4xx of the entry's own; the rule allows " + (5 + sent / 500));
        }
        site.close();
        return denied <= 5 + sent / 500;
    }

    /** Sends requests on a kept channel, and on a new one after the entry has closed it. */
    private static void call(Site.Entry entry, int caller) throws Exception {
        Socket socket = null;
        for (int number = 0; !ended; number++) {
            String id = "c" + caller + "-" + number;
            boolean isLarge = System.nanoTime() > largeFromNanos;
            byte[] body = new byte[isLarge ? LARGE_BYTES : SMALL_BYTES];
            String result;
            boolean isOwn = false;
            try {
                if (socket == null) socket = Http.connect(entry.port);
                socket.setSoTimeout(6_000);
                socket.getOutputStream().write(Site.request("POST", "/reservas/nueva", id, 5_000, body.length).getBytes());
                try {
                    socket.getOutputStream().write(body);
                } catch (IOException e) {
                    // The answer may have come before the body was sent.
                }
                Http.Message answer = Http.read(socket.getInputStream());
                result = answer == null ? "channel closed" : Integer.toString(answer.status());
                isOwn = answer != null && !answer.headers.containsKey("teaselspring-response-seal");
                if (answer == null || "close".equals(answer.headers.get("connection"))) {
                    socket.close();
                    socket = null;
                }
            } catch (IOException e) {
                result = "channel reset";
                if (socket != null) socket.close();
                socket = null;
            }
            synchronized (answers) {
                sent++;
                answers.merge((isLarge ? "large " : "small ") + result, 1, Integer::sum);
                boolean isDenied = isOwn && result.startsWith("4") && !result.matches("408|421|429");
                if (isDenied) {
                    denied++;
                    Record.line("request " + id + " with " + body.length + " bytes: " + result);
                }
            }
            Thread.sleep(200);
        }
        if (socket != null) socket.close();
    }
}
