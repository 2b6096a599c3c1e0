/*
 * Scripted instances for load: they say at random that they are leaving or want a pause, and count what they receive
 * against it.
 */
package io.teaselspring.daemon.gateway

import java.io.OutputStream
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Requests on the way when an instance says something may still arrive for this long. */
private val ON_THE_WAY = 500.milliseconds

/** What the instances have run and what has reached them too late. */
class Journal(
    timeSource: TimeSource = TimeSource.Monotonic,
) {
    val start: TimeMark = timeSource.markNow()
    val runs = ConcurrentHashMap<String, AtomicInteger>()
    val tooLate = ConcurrentLinkedQueue<String>()

    fun nowMs() = start.elapsedNow().inWholeMilliseconds
}

/** An instance that says it is leaving or asks for a pause in some of its responses. */
class MoodyInstance(
    private val name: String,
    private val journal: Journal,
    seed: Int,
    port: Int = 0,
) {
    private val random = Random(seed)
    val isLeaving = AtomicBoolean()
    private var leavingSaidMs = Long.MAX_VALUE
    private var pauseSaidMs = Long.MAX_VALUE
    private var pausedUntilMs = 0L

    val upstream =
        ScriptedUpstream(port) { request, output ->
            respondTo(request, output)
            ConnectionAction.KEEP
        }

    /** Checks [request], runs it or turns it away, and notes what the response said. */
    fun respondTo(
        request: ReceivedRequest,
        output: OutputStream,
    ) {
        val isHealthCheck = "/healthz" in request.line
        val leaving = if (isLeaving.get()) "X-Leaving: 1\r\n" else ""
        val pauseMs = note(isHealthCheck)
        val answeredMs = journal.nowMs()
        if (pauseMs != null) {
            val extra = "${leaving}X-Not-Run: 1\r\nRetry-After: ${secondsText(pauseMs)}\r\n"
            output.respond(request, "full", "503 Full", extra = extra)
        } else {
            val call = request.header("X-Call")
            check(isHealthCheck || call != null)
            call?.let { journal.runs.computeIfAbsent(it) { AtomicInteger() }.incrementAndGet() }
            output.respond(request, "done", extra = leaving)
        }
        said(leaving.isNotEmpty(), pauseMs, answeredMs)
    }

    /**
     * Checks a request that has just arrived; returns the pause to ask for, or null to run it. A health check may reach
     * an instance that leaves.
     */
    @Synchronized
    private fun note(isHealthCheck: Boolean): Long? {
        val nowMs = journal.nowMs()
        val margin = ON_THE_WAY.inWholeMilliseconds
        if (nowMs > pauseSaidMs + margin &&
            nowMs < pausedUntilMs
        ) {
            journal.tooLate +=
                "$name at $nowMs ms, ${pausedUntilMs - nowMs} ms before the end of a pause"
        }
        if (!isHealthCheck && leavingSaidMs != Long.MAX_VALUE && nowMs > leavingSaidMs + margin) {
            journal.tooLate += "$name left at $nowMs ms"
        }
        return random.nextLong(600, 1_500).takeIf { random.nextInt(150) == 0 }
    }

    /** Notes a response after it was written, from which the entry knows; a pause counts from [answeredMs]. */
    @Synchronized
    private fun said(
        saysLeaving: Boolean,
        pauseMs: Long?,
        answeredMs: Long,
    ) {
        val nowMs = journal.nowMs()
        if (saysLeaving) leavingSaidMs = minOf(leavingSaidMs, nowMs)
        if (pauseMs != null && answeredMs + pauseMs > pausedUntilMs) {
            if (nowMs >= pausedUntilMs) pauseSaidMs = nowMs
            pausedUntilMs = answeredMs + pauseMs
        }
    }
}
