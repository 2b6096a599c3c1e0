import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;

/**
 * The link of one machine to one address, as a proxy. While the machine is cut off, nothing passes either way and no
 * connection can be made. What was sent on an open connection stays with its sender, which repeats it as TCP does: 0.2 s
 * after it was sent, 0.6, 1.4, 3.0, 6.2, 12.6 s and so on, so it arrives with the first repeat after the cut. A sender
 * that closes the connection in the ordinary way goes on repeating; one that resets it loses the bytes.
 */
final class CutLink {
    /** The cut of one machine, common to all its links. */
    static final class Cut {
        private double from = Double.MAX_VALUE;
        private double until;

        synchronized void begin(double at, double seconds) {
            from = at;
            until = at + seconds;
        }

        synchronized boolean isActive(double at) {
            return at >= from && at < until;
        }

        synchronized boolean hasBegun() {
            return from < Double.MAX_VALUE;
        }

        synchronized double end() {
            return until;
        }
    }

    private static final double FIRST_REPEAT_S = 0.2;

    private final Record record;
    private final Cut cut;
    private final String to;
    private final ServerSocket socket;

    /** Called with each piece that the machine sends; returns whether the cut is to begin with that piece. */
    private final Predicate<String> beginsCut;

    private final double cutSeconds;

    CutLink(Record record, Cut cut, String to, double cutSeconds, Predicate<String> beginsCut) throws IOException {
        this.record = record;
        this.cut = cut;
        this.to = to;
        this.cutSeconds = cutSeconds;
        this.beginsCut = beginsCut;
        socket = new ServerSocket();
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
        Http.thread(this::accept);
    }

    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    private void accept() throws IOException {
        while (true) {
            Socket near = socket.accept();
            if (cut.isActive(record.now())) {
                // The opening packet is lost; what the kernel has accepted here leads nowhere.
                Http.thread(() -> drop(near));
                continue;
            }
            Socket far = new Socket("127.0.0.1", Integer.parseInt(to.split(":")[1]));
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            AtomicBoolean isReset = new AtomicBoolean();
            Http.thread(() -> pass(near, far, isReset, true));
            Http.thread(() -> pass(far, near, isReset, false));
        }
    }

    private static void drop(Socket near) throws IOException {
        try (near) {
            InputStream in = near.getInputStream();
            byte[] buffer = new byte[4096];
            while (in.read(buffer) >= 0) {
                // Lost.
            }
        }
    }

    /** Bytes on their way, or the end of a channel, and when they arrive. */
    private static final class Piece {
        final byte[] bytes;
        final double sentAt;
        final double arrivesAt;

        Piece(byte[] bytes, double sentAt, double arrivesAt) {
            this.bytes = bytes;
            this.sentAt = sentAt;
            this.arrivesAt = arrivesAt;
        }
    }

    private void pass(Socket from, Socket to, AtomicBoolean isReset, boolean isOutward) throws Exception {
        BlockingQueue<Piece> pieces = new LinkedBlockingQueue<>();
        Http.thread(() -> deliver(pieces, to, isReset, isOutward));
        InputStream in = from.getInputStream();
        byte[] buffer = new byte[65536];
        while (true) {
            int count;
            try {
                count = in.read(buffer);
            } catch (SocketException e) {
                // The sender has reset the channel: what it holds is lost, and during a cut so is the reset.
                isReset.set(true);
                if (!cut.isActive(record.now())) to.close();
                from.close();
                return;
            }
            double sentAt = record.now();
            if (count > 0 && isOutward && beginsCut.test(new String(buffer, 0, count))) cut.begin(sentAt, cutSeconds);
            pieces.add(new Piece(count < 0 ? null : Arrays.copyOf(buffer, count), sentAt, arrival(sentAt)));
            if (count < 0) return;
        }
    }

    private void deliver(BlockingQueue<Piece> pieces, Socket to, AtomicBoolean isReset, boolean isOutward) throws Exception {
        OutputStream out = to.getOutputStream();
        while (true) {
            Piece piece = pieces.take();
            Thread.sleep(Math.max(0, Math.round((piece.arrivesAt - record.now()) * 1000)));
            if (isReset.get()) {
                if (piece.arrivesAt > piece.sentAt) record.line("link", "drops what a reset channel was to send");
                to.close();
                return;
            }
            if (piece.bytes == null) {
                to.shutdownOutput();
                return;
            }
            if (isOutward && piece.arrivesAt > piece.sentAt) {
                record.line("link", String.format("passes on after the cut what was sent at %.3f", piece.sentAt));
            }
            out.write(piece.bytes);
            out.flush();
        }
    }

    /** When what is sent at [sentAt] arrives: at once, or with the first repeat after the cut. */
    private double arrival(double sentAt) {
        double at = sentAt;
        double pause = FIRST_REPEAT_S;
        while (cut.isActive(at)) {
            at += pause;
            pause *= 2;
        }
        return at;
    }
}
