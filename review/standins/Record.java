import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, one line per event with the seconds since the start, to a case's record.txt. */
final class Record implements AutoCloseable {
    private final long startNs = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file), true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Seconds since the start. */
    double now() {
        return (System.nanoTime() - startNs) / 1e9;
    }

    synchronized void line(String who, String what) {
        out.printf("%8.3f %-9s %s%n", now(), who, what);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
