/*
 * The part of a stream that the caller has received. A resumable stream is forwarded in whole events, so that it can
 * continue on another instance after the last one. Any other stream is forwarded as it arrives; in both cases an end
 * within an event shows that the instance has broken the stream off.
 */
package io.teaselspring.daemon.gateway

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.teaselspring.daemon.http.BodyFraming

internal const val NO_MEMORY_FOR_EVENT = "no memory for an unfinished event"

/**
 * A stream that is forwarded to [writer], possibly from several instances in turn; [onBegin] precedes its head. [memory]
 * counts what is kept of it. A caller that resumes the stream has its events up to the id [resumedAfter].
 */
internal class ForwardedStream(
    private val writer: ResponseWriter,
    val memory: StreamShare,
    private val resumedAfter: String?,
    private val onBegin: () -> Unit,
) {
    private var unsentHead: BufferedResponse? = null
    private var framer: EventFramer? = null
    private var position: EventPosition? = null
    private var isEventStream = true
    private var eventsOfEarlierResponses = 0L
    private val boundaries = EventBoundaries()

    /** Whether the caller has received the head, which goes out with the first bytes of the body. */
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
    val lastEventId: String? get() = position?.lastEventId

    /**
     * Whether the stream may end here. An instance that crashes closes its connection, which is also how a body without
     * length and chunks ends ([framing]), so such a stream is not complete within an event, nor before its first event.
     */
    fun isCompleteAtEnd(framing: BodyFraming): Boolean =
        !isEventStream || (!isInsideEvent && (hasNewEvents || framing != BodyFraming.UNTIL_CLOSE))

    /** Whether the current response has had a complete event. */
    val hasNewEvents: Boolean get() = completeEvents > eventsOfEarlierResponses

    /** How the last response ended, or what has arrived of it; its body has this [framing]. */
    fun responseEnd(framing: BodyFraming): ResponseEnd =
        if (hasBegun || unsentHead != null) {
            ResponseEnd(framing, completeEvents, isInsideEvent)
        } else {
            ResponseEnd(framing, events = null, isInsideEvent = null)
        }

    /** Whether an attempt may send more of the stream: before its head, or at a known position. */
    val canContinue: Boolean get() = !hasBegun || position?.isKnown == true

    /** Whether a successful response with [headers] may follow what the caller has received. */
    fun isContinuedBy(headers: HttpHeaders): Boolean =
        !hasBegun || (headers.statesEvents() && HttpHeaderNames.CONTENT_ENCODING !in headers)

    /** Begins the stream with [response], unless the caller has received the head of an earlier one. */
    fun begin(
        response: BufferedResponse,
        isResumable: Boolean,
    ) {
        if (hasBegun) return
        unsentHead = response
        memory.open()
        isEventStream = response.headers.statesEvents()
        framer = if (isResumable && isEventStream) EventFramer(boundaries) else null
        position = framer?.let { EventPosition(resumedAfter) }
    }

    /** Ends the stream as complete. */
    fun end() {
        sendHead()
        writer.end()
    }

    private fun send(chunk: ByteBuf) {
        sendHead()
        writer.writeBody(chunk, memory)
    }

    /** Sends [events] up to the first one that does not follow; returns whether all do. */
    private fun sendInOrder(events: ByteBuf): Boolean {
        val sentBytes = position?.advance(events) ?: events.readableBytes()
        val isInOrder = sentBytes == events.readableBytes()
        events.writerIndex(events.readerIndex() + sentBytes)
        if (events.isReadable) send(events) else events.release()
        return isInOrder
    }

    private fun sendHead() {
        val head = unsentHead ?: return
        unsentHead = null
        hasBegun = true
        onBegin()
        writer.writeHead(head.status, head.headers)
    }

    /**
     * Forwards [chunk], which arrived at [nowMs]; the caller keeps its ownership. Returns why the stream has to end:
     * an event has become too large, or does not follow the one before it; or null.
     */
    fun forward(
        chunk: ByteBuf,
        nowMs: Long,
    ): String? {
        if (firstEventAtMs == null) firstEventAtMs = nowMs
        val framer = framer
        if (framer == null) {
            boundaries.add(chunk)
            send(chunk.retain())
            return null
        }
        val isInOrder = framer.add(chunk)?.let(::sendInOrder) ?: true
        return when {
            !isInOrder -> "event out of order"
            framer.isOversized -> "event too large"
            !memory.keepPartial(framer.partialBytes) -> NO_MEMORY_FOR_EVENT
            else -> null
        }
    }

    /** The response has broken off: drops the part of an event that the next one sends again in whole. */
    fun dropPartial() {
        eventsOfEarlierResponses = completeEvents
        framer?.dropPartial()
        boundaries.dropPartial()
        memory.keepPartial(0)
    }

    /** The request has ended. */
    fun close() {
        dropPartial()
        memory.close()
    }

    /** Whether the body is a stream of events, which is also assumed without a type. */
    private fun HttpHeaders.statesEvents() =
        get(HttpHeaderNames.CONTENT_TYPE)?.startsWith(EVENT_STREAM, ignoreCase = true) ?: true

    private companion object {
        const val EVENT_STREAM = "text/event-stream"
    }
}
