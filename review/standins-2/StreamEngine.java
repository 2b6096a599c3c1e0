/** A model engine: answers with a stream of events, one after the other, and ends it whole. */
final class StreamEngine extends Engine {
    int firstMs = 200, events = 24, gapMs = 80;

    StreamEngine(Site site, String id, String service) throws Exception {
        super(site, id, service);
        slots = 64;
    }

    @Override
    void work(Http.Message request, Http.Channel channel, String attempt) throws Exception {
        Thread.sleep(firstMs);
        channel.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTeaselspring-Attempt-Id: " + attempt
            + "\r\nTeaselspring-Response-Seal: seal-" + attempt + "\r\nKeep-Alive: timeout=10\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 1; i <= events; i++) {
            String event = "id: " + i + "\ndata: piece " + i + " of the guide\n\n";
            channel.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            Thread.sleep(gapMs);
        }
        channel.write("0\r\n\r\n");
        site.log("engine " + id + " has ended the stream of " + attempt);
    }
}
