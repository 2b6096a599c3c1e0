import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Four engines of two software versions serve resumable streams; one of them crashes. */
final class Builds {
    static final int EVENTS = 10;
    static final int CALLERS = 80;
    static final AtomicInteger whole = new AtomicInteger();
    static final AtomicInteger mixed = new AtomicInteger();
    static final AtomicInteger other = new AtomicInteger();
    static volatile boolean ended;

    public static void main(String[] args) {
        Site.main(Path.of(args[0]), Builds::play);
    }

    /** An engine whose events name its software version. */
    static final class Engine {
        final Set<Socket> channels = ConcurrentHashMap.newKeySet();
        final String id;
        final String version;
        final int port;
        volatile boolean isDown;
        private volatile ServerSocket listener;

        Engine(Site site, String id, String version) throws Exception {
            this.id = id;
            this.version = version;
            listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
            port = listener.getLocalPort();
            Http.thread(() -> {
                while (true) {
                    try {
                        Socket channel = listener.accept();
                        channel.setTcpNoDelay(true);
                        channels.add(channel);
                        Http.thread(() -> serve(channel));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
            long born = System.currentTimeMillis();
            Http.thread(() -> {
                for (long sequence = 1; !isDown; sequence++) {
                    site.store.put("servers", id, Json.of("service", "taquilla", "address", "127.0.0.1:" + port, "zone", "oviedo",
                        "version", version, "slots", 64, "state", "ready", "warmup_left_ms", 0, "sequence", sequence, "born", born));
                    Thread.sleep(1_200);
                }
            });
        }

        /** The process ends: its port refuses, its channels are reset. */
        void crash() throws IOException {
            isDown = true;
            listener.close();
            for (Socket channel : channels) {
                channel.setSoLinger(true, 0);
                channel.close();
            }
        }

        private void serve(Socket channel) throws Exception {
            try (channel) {
                InputStream in = new java.io.BufferedInputStream(channel.getInputStream());
                OutputStream out = channel.getOutputStream();
                while (true) {
                    Http.Message request = Http.read(in);
                    if (request == null) return;
                    if (!id.equals(request.headers.get("teaselspring-expect-instance"))) {
                        Http.respond(channel, 421, Site.answerHeaders(request) + "Teaselspring-Not-Executed: 1\r\n", "");
                        continue;
                    }
                    int from = Integer.parseInt(request.headers.getOrDefault("last-event-id", "0"));
                    out.write(("HTTP/1.1 200 OK\r\n" + Site.answerHeaders(request) + Site.seal(request)
                        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").getBytes());
                    for (int i = from + 1; i <= EVENTS; i++) {
                        byte[] event = ("id: " + i + "\ndata: " + version + "\n\n").getBytes();
                        out.write((Integer.toHexString(event.length) + "\r\n").getBytes());
                        out.write(event);
                        out.write("\r\n".getBytes());
                        out.flush();
                        Thread.sleep(60);
                    }
                    out.write("0\r\n\r\n".getBytes());
                    out.flush();
                }
            } catch (IOException e) {
                // The other side has gone, or this engine has crashed.
            } finally {
                channels.remove(channel);
            }
        }
    }

    static boolean play() throws Exception {
        Site site = new Site();
        Engine first = new Engine(site, "i-1", "v1.1");
        new Engine(site, "i-2", "v1.1");
        new Engine(site, "i-3", "v1.2");
        new Engine(site, "i-4", "v1.2");
        Map<String, Object> route = Site.route("r-1", "/consultas/", "streaming", 5_000);
        route.put("stream_resume", true);
        route.put("max_attempts", 2);
        route.put("gap_target_ms", 300);
        site.config(7, List.of(route), Site.limits(16_384, 4_194_304), Site.tenants());
        Site.Entry entry = site.start("front-oviedo-1");
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            callers.add(Http.thread(() -> {
                for (int k = 0; !ended; k++) call(entry, "c" + number + "-" + k);
            }));
        }
        Thread.sleep(7_300);
        if (Site.TROUBLE) {
            Record.line("engine i-1 (v1.1) crashes");
            first.crash();
        }
        Thread.sleep(4_000);
        ended = true;
        for (Thread caller : callers) caller.join(6_000);
        Record.line(whole + " streams were whole, of one version; " + mixed + " hold events of two versions; " + other + " others");
        site.close();
        return mixed.get() <= 2;
    }

    private static void call(Site.Entry entry, String id) throws Exception {
        Set<String> versions = new TreeSet<>();
        int events = 0;
        boolean isComplete = false;
        try (Socket socket = Http.connect(entry.port)) {
            socket.setSoTimeout(6_000);
            socket.getOutputStream().write((Site.request("POST", "/consultas/x", id, 5_000, 2) + "{}").getBytes());
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            Http.Message head = Http.head(in);
            if (head != null && head.status() == 200) {
                StringBuilder text = new StringBuilder();
                while (true) {
                    int length = Integer.parseInt(Http.line(in).trim(), 16);
                    text.append(new String(in.readNBytes(length)));
                    Http.line(in);
                    if (length == 0) break;
                }
                isComplete = true;
                for (String line : text.toString().split("\n")) {
                    if (line.startsWith("data: ")) {
                        versions.add(line.substring(6));
                        events++;
                    }
                }
            }
        } catch (IOException | RuntimeException e) {
            // Counted below.
        }
        if (versions.size() > 1) {
            mixed.incrementAndGet();
            Record.line("stream " + id + ": " + events + " events, of the versions " + versions);
        } else if (isComplete && events == EVENTS) {
            whole.incrementAndGet();
        } else {
            other.incrementAndGet();
        }
    }
}
