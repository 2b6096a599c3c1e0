import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A link whose open channels can go silent for good, without a reset, while new ones work. */
final class SilentLink {
    private final Record record;
    private final String to;
    private final ServerSocket socket;
    private volatile double silentSince = -1;

    SilentLink(Record record, String to) throws IOException {
        this.record = record;
        this.to = to;
        socket = new ServerSocket();
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
        Http.thread(this::accept);
    }

    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /** From now on nothing passes either way on the channels that are open; channels opened later work. */
    void silenceOpenChannels() {
        silentSince = record.now();
        record.line("link", "the open channels go silent");
    }

    private void accept() throws IOException {
        while (true) {
            Socket near = socket.accept();
            Socket far = new Socket("127.0.0.1", Integer.parseInt(to.split(":")[1]));
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            double openedAt = record.now();
            Http.thread(() -> pass(near, far, openedAt));
            Http.thread(() -> pass(far, near, openedAt));
        }
    }

    private void pass(Socket from, Socket to, double openedAt) throws IOException {
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[65536];
            int count;
            while ((count = in.read(buffer)) >= 0) {
                if (openedAt < silentSince) continue;
                out.write(buffer, 0, count);
                out.flush();
            }
            // The end of a silent channel doesn't arrive either.
            while (openedAt < silentSince && !to.isClosed() && !from.isClosed()) Thread.sleep(60_000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
