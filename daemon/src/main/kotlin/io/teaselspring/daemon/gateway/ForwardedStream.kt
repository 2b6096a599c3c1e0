/*
 * The part of a stream that the caller has received. A resumable stream is forwarded in whole events, so that it can
 * continue on another instance after the last one.
 */
package io.teaselspring.daemon.gateway

import io.netty.buffer.ByteBuf

/** A stream that is forwarded to [writer], possibly from several instances in turn. */
internal class ForwardedStream(
    private val writer: ResponseWriter,
) {
    private var framer: EventFramer? = null
    private val boundaries = EventBoundaries()

    /** Whether the caller has received the head. */
    var hasBegun = false
        private set

    /** Time of the first chunk in monotonic milliseconds, or null before it. */
    var firstEventAtMs: Long? = null
        private set

    /** Number of complete events that have arrived. */
    val completeEvents: Long get() = boundaries.completeEvents

    /** Whether what has arrived ends within an event. */
    val isInsideEvent: Boolean get() = boundaries.isInsideEvent

    /** Id of the last complete event of a resumable stream. */
    val lastEventId: String? get() = framer?.lastEventId

    /** Whether a part of an event waits for its rest. */
    val hasPartial: Boolean get() = framer?.hasPartial == true

    /** Sends the head of [response] to the caller. */
    fun begin(
        response: BufferedResponse,
        isResumable: Boolean,
    ) {
        hasBegun = true
        if (isResumable) framer = EventFramer()
        writer.writeHead(response.status, response.headers)
    }

    /**
     * Forwards [chunk], which arrived at [nowMs]; the caller keeps its ownership. Returns false if an event has become
     * too large, so that the stream has to end.
     */
    fun forward(
        chunk: ByteBuf,
        nowMs: Long,
    ): Boolean {
        if (firstEventAtMs == null) firstEventAtMs = nowMs
        boundaries.add(chunk)
        val framer = framer
        if (framer == null) writer.writeBody(chunk.retain()) else framer.add(chunk)?.let { writer.writeBody(it) }
        return framer?.isOversized != true
    }

    /** Drops the part of an event that another instance sends again in whole. */
    fun dropPartial() {
        framer?.dropPartial()
        boundaries.dropPartial()
    }
}
