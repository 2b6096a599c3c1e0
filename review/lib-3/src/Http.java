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

/** HTTP/1.1 messages with a length, and a server with a thread for each channel. */
final class Http {
    /** A request or a response; names of headers are in lower case. */
    static final class Message {
        String first = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        /** The value of [name] in the query, decoded. */
        String query(String name) {
            int mark = target().indexOf('?');
            if (mark < 0) return null;
            for (String pair : target().substring(mark + 1).split("&")) {
                if (pair.startsWith(name + "=")) {
                    return java.net.URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
                }
            }
            return null;
        }
    }

    /** Handles a request and writes the response to its channel; returns whether the channel stays open. */
    interface Handler {
        boolean handle(Message request, Socket channel) throws Exception;
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            int c = in.read();
            if (c < 0) {
                if (out.size() == 0) return null;
                throw new IOException("end within a line");
            }
            if (c == '\n') break;
            if (c != '\r') out.write(c);
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the first line and the headers; null at the end of the channel. */
    static Message head(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) return null;
        Message message = new Message();
        message.first = first;
        while (true) {
            String header = line(in);
            if (header == null) throw new IOException("end within a head");
            if (header.isEmpty()) return message;
            int colon = header.indexOf(':');
            message.headers.put(header.substring(0, colon).toLowerCase(), header.substring(colon + 1).trim());
        }
    }

    /** Reads a whole message whose body has a length or is in chunks; null at the end of the channel. */
    static Message read(InputStream in) throws IOException {
        Message message = head(in);
        if (message == null) return null;
        if ("chunked".equalsIgnoreCase(message.headers.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) throw new IOException("end within a body");
                int count = Integer.parseInt(size.split(";")[0].trim(), 16);
                byte[] chunk = in.readNBytes(count);
                if (chunk.length < count || line(in) == null) throw new IOException("end within a body");
                if (count == 0) break;
                body.write(chunk);
            }
            message.body = body.toByteArray();
            return message;
        }
        int length = Integer.parseInt(message.headers.getOrDefault("content-length", "0"));
        message.body = in.readNBytes(length);
        if (message.body.length < length) throw new IOException("end within a body");
        return message;
    }

    static void respond(Socket channel, int status, String headers, byte[] body) throws IOException {
        OutputStream out = channel.getOutputStream();
        String head = "HTTP/1.1 " + status + " S\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
        byte[] bytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[bytes.length + body.length];
        System.arraycopy(bytes, 0, all, 0, bytes.length);
        System.arraycopy(body, 0, all, bytes.length, body.length);
        out.write(all);
        out.flush();
    }

    static void respond(Socket channel, int status, String headers, String body) throws IOException {
        respond(channel, status, headers, body.getBytes(StandardCharsets.UTF_8));
    }

    /** Serves [handler] at a free loopback port and returns the port. */
    static int serve(Handler handler) throws IOException {
        ServerSocket listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        thread(() -> {
            while (true) {
                Socket channel = listener.accept();
                channel.setTcpNoDelay(true);
                thread(() -> {
                    try (channel) {
                        InputStream in = new java.io.BufferedInputStream(channel.getInputStream());
                        while (true) {
                            Message request = read(in);
                            if (request == null || !handler.handle(request, channel)) return;
                        }
                    } catch (IOException e) {
                        // The other side has gone.
                    }
                });
            }
        });
        return listener.getLocalPort();
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread thread(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                Record.line("stand-in failed: " + e);
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static Socket connect(int port) throws IOException {
        return connect(port, 0);
    }

    static Socket connect(int port, int receiveBuffer) throws IOException {
        Socket socket = new Socket();
        if (receiveBuffer > 0) socket.setReceiveBufferSize(receiveBuffer);
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
        return socket;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }
}
