import java.io.OutputStream;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** The platform's API for singleton duties: accepts usage reports and keeps them in the order in which they arrive. */
final class Cloud {
    /** A call, with the time of its arrival in seconds since the start. */
    static final class Call {
        final double at;
        final String holder;
        final long fence;
        final String body;

        Call(double at, String holder, long fence, String body) {
            this.at = at;
            this.holder = holder;
            this.fence = fence;
            this.body = body;
        }
    }

    final List<Call> calls = new CopyOnWriteArrayList<>();
    private final Record record;
    private final Http.Server server;

    Cloud(Record record) throws Exception {
        this.record = record;
        server = new Http.Server(this::answer);
    }

    String address() {
        return server.address();
    }

    private boolean answer(Http.Message request, OutputStream out) throws Exception {
        String holder = request.headers.get("Teaselspring-Duty-Holder");
        long fence = Long.parseLong(request.headers.get("Teaselspring-Fence-Token"));
        calls.add(new Call(record.now(), holder, fence, request.text()));
        record.line("cloud", request.target() + " of " + holder + " with fence " + fence + ": " + request.text());
        out.write(Http.json(200, Map.of()));
        out.flush();
        return true;
    }
}
