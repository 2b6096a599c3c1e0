import java.io.BufferedInputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;

/** A consumer, and the headers of a sound engine's success. */
final class Client {
    private Client() {}

    /** The headers of a success of an engine for [request]. */
    static Map<String, String> engineHeaders(Http.Message request) {
        Map<String, String> headers = new LinkedHashMap<>();
        String id = request.headers.get("Teaselspring-Attempt-Id");
        if (id != null) {
            headers.put("Teaselspring-Attempt-Id", id);
            headers.put("Teaselspring-Response-Seal", "3e1b." + id);
        }
        headers.put("Keep-Alive", "timeout=5");
        return headers;
    }

    static byte[] request(String method, String path, String id, String key, int deadlineMs, byte[] body) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "ficu95.example");
        headers.put("Teaselspring-Attempt-Id", id);
        headers.put("Teaselspring-Deadline", Integer.toString(deadlineMs));
        if (key != null) headers.put("Teaselspring-Credential", key);
        return Http.bytes(method + " " + path + " HTTP/1.1", headers, body);
    }

    /** Sends one request on a new channel and returns the answer; null if there was none. */
    static Http.Message post(Record record, int port, String path, String id, String key, int deadlineMs) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(deadlineMs + 2_000);
            socket.getOutputStream().write(request("POST", path, id, key, deadlineMs, "a booking".getBytes()));
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), false);
            record.line("client", id + ": " + (answer == null ? "no answer" : answer.first + " " + answer.text()));
            return answer;
        } catch (Exception e) {
            record.line("client", id + ": " + e);
            return null;
        }
    }
}
