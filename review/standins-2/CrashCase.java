import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.*;

/**
 * The only engine of a service crashes right after an entry has heard its work time for the first time, and is back
 * under its id: six other requests are on their way through the same entry to a sound engine of another service.
 */
final class CrashCase {
    static final int CALLERS = 6;

    public static void main(String[] args) { Site.play(CrashCase::run); }

    static void run(Site site) throws Exception {
        List<Engine> notes = new ArrayList<>();
        for (int i = 0; i < 3; i++) notes.add(new Engine(site, "i-notes" + i, "notes"));
        Engine app = new Engine(site, "i-app", "app");
        app.workTimePct = 100;
        site.service("notes");
        site.service("app");
        site.route("r-notes", "/notes/", "safe", "notes");
        site.route("r-app", "/app/", "safe", "app");
        site.tenants.add(Json.map("name", "tenant1", "api_keys", List.of("key1")));
        site.putConfig();
        Site.Entry entry = site.entry("front-z1-1");
        entry.awaitReady();
        Thread.sleep(4000);

        // Kept channels: each has carried one request before.
        List<Http.Channel> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Socket socket = new Socket("127.0.0.1", entry.front);
            socket.setSoTimeout(9000);
            Http.Channel channel = new Http.Channel(socket);
            callers.add(channel);
            send(channel, "/notes/a", "warm" + i);
            Http.Message answer = Http.read(channel.in, true, null);
            if (answer == null || answer.status() != 200) throw new IllegalStateException("no answer on a quiet site");
        }
        for (Engine e : notes) e.workMs = 2500;
        long registryCallMs = site.store.awaitFeed("servers");
        Thread.sleep(Math.max(1, registryCallMs + 700 - site.store.nowMs()));
        List<Future<String>> results = new ArrayList<>();
        ExecutorService pool = Executors.newCachedThreadPool(r -> { Thread t = new Thread(r); t.setDaemon(true); return t; });
        for (int i = 0; i < CALLERS; i++) {
            Http.Channel channel = callers.get(i);
            String attempt = "long" + i;
            results.add(pool.submit(() -> {
                send(channel, "/notes/a", attempt);
                site.log("consumer sends " + attempt);
                String result;
                try {
                    Http.Message answer = Http.read(channel.in, true, null);
                    result = answer == null ? "channel closed without an answer" : answer.first + ", " + answer.end;
                } catch (IOException e) {
                    result = "channel closed without an answer: " + e.getMessage();
                }
                site.log("consumer of " + attempt + " sees: " + result);
                return result;
            }));
        }
        Thread.sleep(100);
        Http.Message first = Http.call(entry.front, Http.request("GET", "/app/a", new byte[0], Site.headers("app0", "key1")), 3000);
        site.log("consumer of app0 sees: " + (first == null ? "nothing" : first.first));
        if (site.trouble) {
            Thread.sleep(100);
            app.crash();
            Thread.sleep(200);
            app.restart();
        }
        int closed = 0;
        for (Future<String> result : results) if (result.get().startsWith("channel closed")) closed++;
        Thread.sleep(500);
        boolean ended = !entry.process.isAlive();
        site.log("entry process " + (ended ? "has ended by itself, exit code " + entry.process.exitValue() : "runs"));
        site.end(closed > 3
            ? closed + " requests from kept channels, passed on to a sound engine, got no answer; the process " + (ended ? "ended by itself" : "runs")
            : null);
    }

    static void send(Http.Channel channel, String uri, String attempt) throws IOException {
        channel.write(Http.request("GET", uri, new byte[0], Site.headers(attempt, "key1")));
    }
}
