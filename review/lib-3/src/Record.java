import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with the time since the start in seconds. */
final class Record {
    private static final long START = System.nanoTime();
    private static PrintWriter out;

    static void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    static synchronized void line(String text) {
        String stamped = String.format("%8.3f %s", (System.nanoTime() - START) / 1e9, text);
        if (out != null) out.println(stamped);
        System.out.println(stamped);
    }
}
