import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The holder of the duty of usage reports is cut off just as it has sent a report. It gives the call up and its lease
 * ends, another entry takes the duty over and reports, and after the cut the first one's call arrives all the same.
 */
final class StaleReport {
    private static final double CUT_S = 12.0;
    private static final double THAW_SLACK_S = 0.3;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path work = Files.createTempDirectory("review");
        Record record = new Record(Path.of(args[0]));
        int code = 2;
        try {
            code = run(trouble, record, work) ? 1 : 0;
        } catch (Exception e) {
            record.line("script", "could not run: " + e);
        }
        record.line("script", code == 1 ? "the rule was broken" : code == 0 ? "the rule held" : "the case did not run");
        record.close();
        System.exit(code);
    }

    private static boolean run(boolean trouble, Record record, Path work) throws Exception {
        Store store = new Store(record);
        Cloud cloud = new Cloud(record);
        Http.Server engine = new Http.Server((request, out) -> {
            Thread.sleep(15);
            out.write(Http.bytes("HTTP/1.1 200 OK", Client.engineHeaders(request), "booked".getBytes()));
            out.flush();
            return true;
        });
        Engines.beat(store, "i-7f3a91c2", "taquilla", engine.address(), 6);
        store.put("op", "config", Engines.config(
                7,
                List.of(Engines.route("r-1", "/puxa403/", "non_idempotent", "taquilla", 600)),
                List.of("taquilla"),
                List.of(Engines.tenant("hule930", "n2ctnfzs989anu6wsjnb"))));

        CutLink.Cut cut = new CutLink.Cut();
        boolean[] armed = {false};
        CutLink toStore = new CutLink(record, cut, store.address(), CUT_S, piece -> false);
        CutLink toCloud = new CutLink(record, cut, cloud.address(), CUT_S, piece -> {
            boolean begins = trouble && armed[0] && piece.startsWith("POST /usage") && !cut.hasBegun();
            if (begins) record.line("link", "front-1 has sent a report and is cut off for " + CUT_S + " s");
            return begins;
        });
        Entry first = new Entry("front-1", record, work, toStore.address(), toCloud.address()).start().awaitReady();
        for (int i = 0; i < 200 && !first.holdsLease(); i++) Thread.sleep(100);
        if (!first.holdsLease()) throw new IllegalStateException("front-1 does not hold the lease");
        record.line("front-1", "holds the duty");
        Entry second = new Entry("front-2", record, work, store.address(), cloud.address()).start().awaitReady();
        Http.thread(() -> {
            for (int i = 0; ; i++) {
                // Before the cut the callers' balancer uses both entries, later only the one that can be reached.
                Entry entry = i % 2 == 0 && !cut.hasBegun() ? first : second;
                Client.post(record, entry.callers, "/puxa403/2f", "a" + i, "n2ctnfzs989anu6wsjnb", 600);
                Thread.sleep(500);
            }
        });
        // The first reports come over a link that works.
        int before = cloud.calls.size();
        for (int i = 0; i < 250 && cloud.calls.size() < before + 2; i++) Thread.sleep(100);
        armed[0] = true;
        for (int i = 0; i < 100 && trouble && !cut.hasBegun(); i++) Thread.sleep(100);
        if (trouble && !cut.hasBegun()) throw new IllegalStateException("no report to cut");
        Thread.sleep(Math.round(CUT_S * 1000) + 6_000);
        return isBroken(record, cloud.calls, cut);
    }

    /** ONE, with fence_enforced false: a call has a lower fence number than one that came before it. */
    private static boolean isBroken(Record record, List<Cloud.Call> calls, CutLink.Cut cut) {
        long highest = 0;
        boolean isBroken = false;
        for (Cloud.Call call : calls) {
            boolean isExcused = cut.hasBegun() && call.at >= cut.end() && call.at <= cut.end() + THAW_SLACK_S;
            if (call.fence < highest && !isExcused) {
                isBroken = true;
                record.line("check", String.format(
                        "%s called at %.3f with fence %d, after one with fence %d; its link healed at %.3f",
                        call.holder, call.at, call.fence, highest, cut.end()));
            }
            highest = Math.max(highest, call.fence);
        }
        record.line("check", calls.size() + " calls, highest fence " + highest);
        return isBroken;
    }
}
