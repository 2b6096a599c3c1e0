/*
 * Test fixture: an instance that in a share of its exchanges breaks a response off at any byte and goes on with another
 * one, or sends a late part of one, on connections that it keeps open. What it does to a request depends on the seed,
 * its name and the request's id only. The journal records what it has run and what the callers may get.
 */
package io.teaselspring.daemon.gateway

import java.io.OutputStream
import java.util.Collections
import java.util.WeakHashMap
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** What a caller may never see. */
internal enum class SoakProblem { FOREIGN, MALFORMED, WITHOUT_REQUEST, LOST, NOT_RUN_BUT_RAN, RAN_TWICE }

/** What the instances of a soak have done, by request id, and what its callers found wrong. */
internal class StutterJournal {
    private val responses = ConcurrentHashMap<String, Set<RawResponse>>()
    private val runs = ConcurrentHashMap<String, Int>()
    private val toldNotRun = ConcurrentHashMap.newKeySet<String>()
    private val problems = ConcurrentLinkedQueue<Pair<SoakProblem, String>>()
    val whole = AtomicInteger()
    val broken = AtomicInteger()
    val stutters = AtomicInteger()

    /** Adds an exchange in which request [id] has run [count] times and has [response] as its only right response. */
    fun add(
        id: String,
        response: RawResponse,
        count: Int,
        isStutter: Boolean,
    ) {
        responses.merge(id, setOf(response), Set<RawResponse>::plus)
        if (count > 0) runs.merge(id, count, Int::plus)
        if (isStutter) stutters.incrementAndGet()
    }

    fun addProblem(
        problem: SoakProblem,
        clue: String,
    ) = problems.add(problem to clue)

    /** Checks [response] as the one to request [id]. */
    fun check(
        id: String,
        response: ReceivedResponse,
    ) {
        if (response.isComplete) whole.incrementAndGet() else broken.incrementAndGet()
        if (response.status.startsWith("503") || "\"not run\"" in response.body) toldNotRun += id
        val written = responses[id].orEmpty()
        when {
            !response.hasSoundHeaders -> addProblem(SoakProblem.MALFORMED, "$id: ${response.text}")
            !isOwn(id, response, written) -> addProblem(SoakProblem.FOREIGN, "$id: ${response.text}\nnot of: $written")
        }
    }

    private fun isOwn(
        id: String,
        response: ReceivedResponse,
        written: Set<RawResponse>,
    ): Boolean =
        when {
            "\r\n\r\n" !in response.text -> true
            !response.isOfInstance -> !response.status.startsWith("2") && "\"$id\"" in response.body
            else -> written.any { response.isOf(it) }
        }

    private fun ReceivedResponse.isOf(written: RawResponse) =
        status == written.status &&
            header("X-Signature") == "s-${written.name}" &&
            if (isComplete) body == written.body else written.body.startsWith(body)

    /** All problems */
    fun allProblems(): List<Pair<SoakProblem, String>> =
        problems +
            toldNotRun.filter(runs::containsKey).map { SoakProblem.NOT_RUN_BUT_RAN to "$it: ${runs[it]}" } +
            runs.filter { (id, count) -> id.startsWith(ORDER.trim('/')) && count > 1 }.map {
                SoakProblem.RAN_TWICE to
                    "$it"
            }
}

private enum class Stutter {
    /** A part of the response, then another whole one. */
    JOINED,

    /** A part of the response to an earlier request, then the response. */
    EARLY,

    /** The response, then a part of another one. */
    AFTER,

    /** A part of the response, then a reset of the connection. */
    RESET,
}

/** An instance that stutters in [share] of its exchanges. One that [isLying] runs each request twice. */
internal class StutteringInstance(
    private val name: String,
    private val journal: StutterJournal,
    private val seed: Int,
    private val share: Double,
    private val isLying: Boolean = false,
) {
    val isLeaving = AtomicBoolean()

    /** Whether the instance resets its connections in place of whole responses. */
    val isResetting = AtomicBoolean()
    private val earlierIds = Collections.synchronizedMap(WeakHashMap<OutputStream, String>())
    val upstream = ScriptedUpstream(::serve)

    private fun serve(
        request: ReceivedRequest,
        output: OutputStream,
    ): ConnectionAction {
        val id = checkNotNull(request.header("X-Request-Id"))
        val lastEvent = request.header("Last-Event-Id")?.toInt() ?: 0
        val random = Random("$seed $name $id $lastEvent".hashCode())
        val extra = if (isLeaving.get()) "X-Leaving: 1\r\n" else ""
        val own = random.responseTo(id, extra)
        val earlierId = earlierIds.put(output, id)
        val stutter = random.stutter(own, earlierId)
        val otherId = if (stutter == Stutter.EARLY || random.nextBoolean()) earlierId ?: id else id
        val other = random.responseTo(otherId).copy(echoesId = random.nextInt(4) > 0)
        val parts = if (stutter == Stutter.JOINED) listOf(own, other) else listOf(own)
        val runs = if (isLying) 2 else parts.any { !it.isRefusal }.compareTo(false)
        journal.add(id, own, runs, isStutter = stutter != null)
        output.write(random, stutter, own.from(lastEvent).bytes(id), other.bytes(otherId))
        return random.actionAfter(own, stutter)
    }

    private fun Random.actionAfter(
        own: RawResponse,
        stutter: Stutter?,
    ): ConnectionAction {
        val mayKeep = stutter == Stutter.JOINED || own.framing != RawFraming.UNTIL_CLOSE
        return when {
            stutter == Stutter.RESET -> ConnectionAction.RESET
            mayKeep && (stutter == null || nextBoolean()) -> ConnectionAction.KEEP
            else -> ConnectionAction.CLOSE
        }
    }

    private fun Random.stutter(
        own: RawResponse,
        earlierId: String?,
    ): Stutter? {
        val stutter = Stutter.entries.random(this).takeIf { nextDouble() < share }
        return when {
            isResetting.get() -> Stutter.RESET
            // Behind a body without a length these bytes would be a part of it.
            stutter == Stutter.AFTER && own.framing == RawFraming.UNTIL_CLOSE -> Stutter.JOINED
            stutter == Stutter.EARLY && earlierId == null -> Stutter.JOINED
            else -> stutter
        }
    }
}

private fun Random.responseTo(
    id: String,
    extra: String = "",
): RawResponse {
    val isStream = id.startsWith(STREAM.trim('/')) || id.startsWith(RESUMED.trim('/'))
    val type = if (isStream) "text/event-stream" else "application/json"
    val body = if (isStream) eventsOf(id).joinToString("") else "the response to $id, ".repeat(nextInt(1, 12))
    return when (nextInt(12)) {
        0 -> RawResponse("failure-$id", "500 Internal Server Error", "$id has failed", extra = extra, type = type)
        1 -> RawResponse("refusal-$id", "503 Full", "no room for $id", extra = "X-Not-Run: 1\r\n$extra", type = type)
        else -> RawResponse("success-$id", "200 OK", body, RawFraming.entries.random(this), extra, type = type)
    }
}

private fun eventsOf(id: String) = List(3 + id.length % 5) { "id: ${it + 1}\ndata: event ${it + 1} of $id\n\n" }

/** This response without the first [events] events of a stream. */
private fun RawResponse.from(events: Int) = copy(body = body.split(Regex("(?<=\n\n)")).drop(events).joinToString(""))

private fun OutputStream.write(
    random: Random,
    stutter: Stutter?,
    own: ByteArray,
    other: ByteArray,
) = when (stutter) {
    null -> writePieces(random, own)
    Stutter.JOINED -> writePieces(random, random.partOf(own), other)
    Stutter.EARLY -> writePieces(random, random.partOf(other), own)
    Stutter.AFTER -> writePieces(random, own, random.partOf(other))
    Stutter.RESET -> writePieces(random, random.partOf(own))
}

private fun Random.partOf(bytes: ByteArray) = bytes.copyOf(nextInt(1, bytes.size))

/** Writes each of [parts] in up to three writes, some with a pause behind them. */
private fun OutputStream.writePieces(
    random: Random,
    vararg parts: ByteArray,
) = parts.forEach { bytes ->
    val ends = List(random.nextInt(3)) { random.nextInt(bytes.size) }.sorted() + bytes.size
    ends.fold(0) { start, end ->
        write(bytes, start, end - start)
        flush()
        if (random.nextInt(3) == 0) Thread.sleep(random.nextLong(1, 6))
        end
    }
}
