import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.*;

/** HTTP/1.1 over plain sockets: a small server with a thread a channel, and a client with kept channels. */
final class Http {
    static final class Message {
        String first;
        final List<String[]> headers = new ArrayList<>();
        byte[] body = new byte[0];
        /** How the message ended: whole, or why not. */
        String end = "whole";

        String header(String name) {
            for (String[] h : headers) if (h[0].equalsIgnoreCase(name)) return h[1];
            return null;
        }

        int status() { return Integer.parseInt(first.split(" ")[1]); }
        String method() { return first.split(" ")[0]; }
        String uri() { return first.split(" ")[1]; }
        String text() { return new String(body, StandardCharsets.UTF_8); }
    }

    interface Handler { void handle(Message request, Channel channel) throws Exception; }

    static final class Channel {
        final Socket socket;
        final InputStream in;
        final OutputStream out;
        volatile boolean keep = true;

        Channel(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        synchronized void write(String text) throws IOException { write(text.getBytes(StandardCharsets.UTF_8)); }
        synchronized void write(byte[] bytes) throws IOException { out.write(bytes); out.flush(); }

        void respond(String status, byte[] body, String... headers) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + "\r\n");
            for (int i = 0; i < headers.length; i += 2) head.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            all.write(body);
            write(all.toByteArray());
        }

        void json(int status, Object body) throws IOException {
            respond(status + " S", Json.write(body).getBytes(StandardCharsets.UTF_8), "Content-Type", "application/json");
        }

        void reset() {
            try { socket.setSoLinger(true, 0); } catch (IOException ignored) { }
            close();
        }

        void close() {
            keep = false;
            try { socket.close(); } catch (IOException ignored) { }
        }
    }

    static final class Server {
        final int port;
        private ServerSocket socket;
        private final Handler handler;
        final Set<Channel> open = ConcurrentHashMap.newKeySet();

        Server(int port, Handler handler) throws IOException {
            this.handler = handler;
            socket = listen(port);
            this.port = socket.getLocalPort();
            accept(socket);
        }

        private static ServerSocket listen(int port) throws IOException {
            ServerSocket s = new ServerSocket();
            s.setReuseAddress(true);
            s.bind(new InetSocketAddress("127.0.0.1", port), 512);
            return s;
        }

        private void accept(ServerSocket listening) {
            thread(() -> {
                while (true) {
                    Channel channel = new Channel(listening.accept());
                    open.add(channel);
                    thread(() -> serve(channel));
                }
            });
        }

        private void serve(Channel channel) {
            try {
                while (channel.keep) {
                    Message request = read(channel.in, false, null);
                    if (request == null) break;
                    handler.handle(request, channel);
                }
            } catch (Exception ignored) {
            } finally {
                open.remove(channel);
                channel.close();
            }
        }

        /** The process of the server is killed: the system resets its channels and refuses new ones. */
        void kill() throws IOException {
            socket.close();
            for (Channel c : open) c.reset();
        }

        /** A new process listens at the same address. */
        void restart() throws IOException {
            socket = listen(port);
            accept(socket);
        }
    }

    interface Task { void run() throws Exception; }

    static Thread thread(Task task) {
        Thread thread = new Thread(() -> {
            try { task.run(); } catch (Exception ignored) { }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
        }
    }

    /** Reads a message; null at the end of the channel before it. [sink] gets pieces of the body as they arrive. */
    static Message read(InputStream in, boolean isResponse, java.util.function.Consumer<byte[]> sink) throws IOException {
        Message message = new Message();
        message.first = line(in);
        if (message.first == null) return null;
        while (true) {
            String line = line(in);
            if (line == null) { message.end = "closed inside the head"; return message; }
            if (line.isEmpty()) break;
            int colon = line.indexOf(':');
            message.headers.add(new String[] {line.substring(0, colon), line.substring(colon + 1).trim()});
        }
        if (isResponse && message.first.startsWith("HTTP/1.1 1")) return read(in, true, sink);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            String length = message.header("Content-Length");
            if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
                while (true) {
                    String size = line(in);
                    if (size == null) { message.end = "closed between chunks"; break; }
                    int count = Integer.parseInt(size.split(";")[0].trim(), 16);
                    if (count == 0) {
                        while (true) { String t = line(in); if (t == null || t.isEmpty()) break; }
                        break;
                    }
                    byte[] piece = in.readNBytes(count);
                    body.write(piece);
                    if (sink != null) sink.accept(piece);
                    if (piece.length < count) { message.end = "closed inside a chunk"; break; }
                    line(in);
                }
            } else if (length != null) {
                int count = Integer.parseInt(length);
                byte[] piece = in.readNBytes(count);
                body.write(piece);
                if (sink != null) sink.accept(piece);
                if (piece.length < count) message.end = "closed inside the body";
            } else if (isResponse) {
                byte[] piece = in.readAllBytes();
                body.write(piece);
            }
        } catch (IOException e) {
            message.end = "broken: " + e.getMessage();
        }
        message.body = body.toByteArray();
        return message;
    }

    static String request(String method, String uri, byte[] body, String... headers) {
        StringBuilder head = new StringBuilder(method + " " + uri + " HTTP/1.1\r\n");
        for (int i = 0; i < headers.length; i += 2) head.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
        if (body.length > 0 || !method.equals("GET")) head.append("Content-Length: ").append(body.length).append("\r\n");
        return head.append("\r\n").toString() + new String(body, StandardCharsets.ISO_8859_1);
    }

    /** One exchange on a new channel; null if there is no answer at all. */
    static Message call(int port, String request, int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            socket.setSoTimeout(timeoutMs);
            Channel channel = new Channel(socket);
            channel.write(request.getBytes(StandardCharsets.ISO_8859_1));
            return read(channel.in, true, null);
        } catch (IOException e) {
            return null;
        }
    }
}
