import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** One kind of request whose answers are JSON on one line and quote the status line of another answer. */
final class Quoted {
    static final int REQUESTS = 20;
    static final int TIMEOUT_MS = 2_000;
    static final int LIMIT_MS = 3_000;

    public static void main(String[] args) {
        Site.main(Path.of(args[0]), Quoted::play);
    }

    static boolean play() throws Exception {
        Site site = new Site();
        Set<String> run = ConcurrentHashMap.newKeySet();
        String quote = Site.TROUBLE ? "HTTP/1.1 404 Not Found" : "404 Not Found";
        site.engine("i-1", (request, channel) -> {
            run.add(request.headers.get("teaselspring-attempt-id"));
            boolean isNote = request.target().startsWith("/avisos/");
            String body = isNote ? "{\"aviso\":12,\"texto\":\"the page of the stables says: " + quote + "\"}" : "{\"reserva\":12}";
            Http.respond(channel, 200, Site.answerHeaders(request) + Site.seal(request) + "Content-Type: application/json\r\n", body);
            return true;
        });
        site.config(7, List.of(Site.route("r-1", "/reservas/", "non_idempotent", TIMEOUT_MS), Site.route("r-2", "/avisos/", "non_idempotent", TIMEOUT_MS)),
            Site.limits(16_384, 4_194_304), Site.tenants());
        Site.Entry entry = site.start("front-oviedo-1");
        int served = 0;
        int servedNotes = 0;
        for (int i = 0; i < REQUESTS; i++) {
            if (send(entry, "/reservas/nueva", "b" + i, run)) served++;
            if (send(entry, "/avisos/nuevo", "n" + i, run)) servedNotes++;
        }
        Record.line("the engine ran " + run.size() + " of " + 2 * REQUESTS + " requests and answered each with 200 within some ms");
        Record.line("bookings served: " + served + " of " + REQUESTS + ", notes served: " + servedNotes + " of " + REQUESTS);
        site.close();
        double all = (served + servedNotes) / (2.0 * REQUESTS);
        return servedNotes / (double) REQUESTS >= all / 4;
    }

    private static boolean send(Site.Entry entry, String path, String id, Set<String> run) throws Exception {
        byte[] body = "{\"places\":2}".getBytes();
        try (Socket socket = Http.connect(entry.port)) {
            socket.setSoTimeout(LIMIT_MS);
            long startNanos = System.nanoTime();
            socket.getOutputStream().write((Site.request("POST", path, id, LIMIT_MS, body.length) + new String(body)).getBytes());
            Http.Message answer = Http.read(socket.getInputStream());
            long ms = (System.nanoTime() - startNanos) / 1_000_000;
            Record.line("request " + id + ": " + (answer == null ? "channel closed" : answer.first + " " + answer.text()) + " after " + ms + " ms"
                + (run.contains(id) ? ", the engine ran it" : ""));
            return answer != null && answer.status() == 200;
        }
    }
}
