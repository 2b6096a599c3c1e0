import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 over plain sockets, just enough for the stand-ins: messages with a length, in chunks, or until the end. */
final class Http {
    private Http() {}

    /** A message: its first line, its headers (names ignore case, the last value counts) and its body. */
    static final class Message {
        String first = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        /** Whether the body came whole. */
        boolean whole = true;

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Answers one request on its connection; returns whether the connection stays open. */
    interface Handler {
        boolean answer(Message request, OutputStream out) throws Exception;
    }

    /** A server on a free port of 127.0.0.1, with a thread for each connection. */
    static final class Server implements AutoCloseable {
        private final ServerSocket socket;
        private final Handler handler;

        Server(Handler handler) throws IOException {
            this.handler = handler;
            socket = new ServerSocket();
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
            thread(this::accept);
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        private void accept() throws IOException {
            while (true) {
                Socket connection = socket.accept();
                connection.setTcpNoDelay(true);
                thread(() -> serve(connection));
            }
        }

        private void serve(Socket connection) throws Exception {
            try (connection) {
                InputStream in = new BufferedInputStream(connection.getInputStream());
                OutputStream out = connection.getOutputStream();
                while (true) {
                    Message request = read(in, true);
                    if (request == null || !request.whole || !handler.answer(request, out)) return;
                }
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    interface Work {
        void run() throws Exception;
    }

    /** Starts a daemon thread; an error of its connection ends it. */
    static Thread thread(Work work) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                work.run();
                            } catch (Exception e) {
                                // The connection has ended.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Reads a head; null at the end of the connection. */
    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        String line = line(in);
        if (line == null || line.isEmpty()) return null;
        message.first = line;
        while (true) {
            line = line(in);
            if (line == null) return null;
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
    }

    /** Reads a message; null at the end of the connection. A request without a length has no body. */
    static Message read(InputStream in, boolean isRequest) throws IOException {
        Message message = readHead(in);
        if (message == null) return null;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if ("chunked".equalsIgnoreCase(message.headers.get("Transfer-Encoding"))) {
                message.whole = readChunks(in, body);
            } else if (message.headers.containsKey("Content-Length")) {
                int length = Integer.parseInt(message.headers.get("Content-Length"));
                message.whole = copy(in, body, length) == length;
            } else if (!isRequest) {
                copy(in, body, Integer.MAX_VALUE);
            }
        } catch (IOException e) {
            message.whole = false;
        }
        message.body = body.toByteArray();
        return message;
    }

    private static boolean readChunks(InputStream in, OutputStream body) throws IOException {
        while (true) {
            String size = line(in);
            if (size == null) return false;
            int length = Integer.parseInt(size.split(";")[0].trim(), 16);
            if (copy(in, body, length) < length) return false;
            if (line(in) == null) return false;
            if (length == 0) return true;
        }
    }

    private static int copy(InputStream in, OutputStream to, int length) throws IOException {
        byte[] buffer = new byte[16384];
        int done = 0;
        while (done < length) {
            int count = in.read(buffer, 0, Math.min(buffer.length, length - done));
            if (count < 0) break;
            to.write(buffer, 0, count);
            done += count;
        }
        return done;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int c = in.read();
            if (c < 0) return null;
            if (c == '\n') return line.toString();
            if (c != '\r') line.append((char) c);
        }
    }

    /** The bytes of a message with a body of known length. */
    static byte[] bytes(String first, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder(first).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        byte[] start = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[start.length + body.length];
        System.arraycopy(start, 0, all, 0, start.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        return all;
    }

    static byte[] json(int status, Object value) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Content-Type", "application/json");
        return bytes("HTTP/1.1 " + status + " x", headers, Json.text(value).getBytes(StandardCharsets.UTF_8));
    }
}
