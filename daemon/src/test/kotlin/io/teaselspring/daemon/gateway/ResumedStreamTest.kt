/*
 * Guards against a resumable stream whose caller gets an event twice, out of order or not at all, because the position
 * at which it continues is wrong or the next instance does not continue there.
 */
package io.teaselspring.daemon.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.io.ByteArrayOutputStream
import java.io.OutputStream
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

private const val LAST_CHUNK = "\r\n0\r\n\r\n"
private const val CALLS = 12

private fun events(ids: Iterable<Int>) = ids.joinToString("") { "id: $it\ndata: e$it\n\n" }

/** Writes a stream of [text] and ends it. */
private fun OutputStream.whole(
    request: ReceivedRequest,
    text: String,
): ConnectionAction {
    streamHead(request)
    if (text.isNotEmpty()) chunk(text)
    lastChunk()
    return ConnectionAction.KEEP
}

/** Writes a stream of [text] and breaks it off. */
private fun OutputStream.broken(
    request: ReceivedRequest,
    text: String,
): ConnectionAction {
    // In one write: the system may hold back a second one until the first is acknowledged.
    val response = ByteArrayOutputStream()
    response.streamHead(request)
    if (text.isNotEmpty()) response.chunk(text)
    write(response.toByteArray())
    Thread.sleep(BREAK_DELAY_MS)
    return ConnectionAction.RESET
}

/** Lets the entry read what was written before the reset, which may discard it. */
private const val BREAK_DELAY_MS = 20L

/**
 * Two instances, either of which gets the first attempt: the first attempt of a request runs [first], any later one
 * runs [later].
 */
private class Attempts(
    first: (ReceivedRequest, OutputStream) -> ConnectionAction,
    later: (ReceivedRequest, OutputStream) -> ConnectionAction,
) {
    private val counts = ConcurrentHashMap<String, AtomicInteger>()

    /** The values of `Last-Event-Id` of each attempt after the first one of a request. */
    val resumedAt = CopyOnWriteArrayList<List<String>>()
    val instances =
        List(2) {
            ScriptedUpstream { request, output ->
                val id = request.header("X-Request-Id").orEmpty()
                if (counts.computeIfAbsent(id) { AtomicInteger() }.incrementAndGet() == 1) {
                    first(request, output)
                } else {
                    resumedAt += request.headers("Last-Event-Id")
                    later(request, output)
                }
            }
        }
}

private val String.data: List<String>
    get() = Regex("(?m)^data: ?(\\S+)").findAll(this).map { it.groupValues[1] }.toList()

private val String.isComplete: Boolean get() = endsWith(LAST_CHUNK)

private class EventForm(
    val name: String,
    val text: String,
    val position: String,
)

private val eventForms =
    listOf(
        EventForm("a space after the colon", "id: 5\ndata: e5\n\n", "5"),
        EventForm("no space after the colon", "id:5\ndata: e5\n\n", "5"),
        EventForm("an id after the data", "data: e5\nid: 5\n\n", "5"),
        EventForm("an id in a second event", "id: 4\ndata: e4\n\nid: 5\ndata: e5\n\n", "5"),
        EventForm("lines that end with CR", "id: 4\rdata: e4\r\rid: 5\rdata: e5\r\r", "5"),
        EventForm("lines that end with CR LF", "id: 4\r\ndata: e4\r\n\r\nid: 5\r\ndata: e5\r\n\r\n", "5"),
        EventForm("a comment after the event", "id: 5\ndata: e5\n\n: id: 6\n\n", "5"),
        EventForm("a comment inside the event", "id: 5\n: id: 6\ndata: e5\n\n", "5"),
        EventForm("several lines of data", "id: 5\ndata: e5\ndata: id: 6\n\n", "5"),
        EventForm("a field that ends with id", "id: 5\nXid: 6\ndata: e5\n\n", "5"),
        EventForm("an id that is repeated", "id: 4\nid: 5\ndata: e5\n\n", "5"),
        EventForm("an event with an id and no data", "id: 4\ndata: e4\n\nid: 5\n\n", "5"),
        EventForm("another field first", "x-weight-version: 3\nid: 5\ndata: e5\n\n", "5"),
    )

class ResumedStreamTest :
    FunSpec({
        // The position is read from the last event that was forwarded whole, wherever the stream breaks off.
        eventForms.forEach { form ->
            listOf("", "id: 9\n", "id: 9\nda", "id: 9\ndata: e9\n", ": id: 9\n").forEach { rest ->
                val quoted = rest.replace("\n", "\\n")
                test("a stream continues after the last whole event: ${form.name}, broken off at \"$quoted\"") {
                    val attempts =
                        Attempts(
                            { request, output -> output.broken(request, form.text + rest) },
                            { request, output -> output.whole(request, events(6..6)) },
                        )
                    withGateway(*attempts.instances.toTypedArray()) {
                        val response = call(RESUMED)
                        withClue(response) {
                            response.isComplete shouldBe true
                            response.data.last() shouldBe "e6"
                        }
                        attempts.resumedAt.toList() shouldBe listOf(listOf(form.position))
                    }
                }
            }
        }

        // The next instance would send the event without an id again.
        listOf(
            "of which none has an id" to "data: a\n\n",
            "of which the last has no id" to "id: 1\ndata: e1\n\ndata: a\n\n",
            "of which the last has an empty id" to "id: 1\ndata: e1\n\nid:\ndata: a\n\n",
            "of which the last has an id without a value" to "id: 1\ndata: e1\n\nid\ndata: a\n\n",
        ).forEach { (name, text) ->
            test("a stream with events $name is cut when it breaks off") {
                val attempts =
                    Attempts(
                        { request, output -> output.broken(request, text) },
                        { request, output ->
                            val rest = if (request.header("Last-Event-Id") == "1") "" else "id: 1\ndata: e1\n\n"
                            output.whole(request, rest + "data: a\n\nid: 3\ndata: e3\n\n")
                        },
                    )
                withGateway(*attempts.instances.toTypedArray()) {
                    val response = call(RESUMED)
                    withClue(response) {
                        response.data.count { it == "a" } shouldBe 1
                        response.isComplete shouldBe false
                    }
                }
            }
        }

        // The instance does not heed Last-Event-Id, or sends the last event once more.
        listOf("the beginning" to 1..5, "the last event" to 3..5, "an earlier event" to 2..5).forEach { (name, ids) ->
            test("a stream does not continue with a response that begins at $name") {
                val attempts =
                    Attempts(
                        { request, output -> output.broken(request, events(1..3)) },
                        { request, output -> output.whole(request, events(ids)) },
                    )
                withGateway(*attempts.instances.toTypedArray()) {
                    repeat(CALLS) {
                        val response = call(RESUMED, id = "r$it")
                        withClue(response) {
                            response.data shouldBe listOf("e1", "e2", "e3")
                            response.isComplete shouldBe false
                        }
                    }
                }
            }

            test("a stream that its caller resumes does not continue with a response that begins at $name") {
                val instances = List(2) { ScriptedUpstream { request, output -> output.whole(request, events(ids)) } }
                withGateway(*instances.toTypedArray()) {
                    repeat(CALLS) {
                        val response = call(RESUMED, id = "r$it", headers = "Last-Event-Id: 3\r\n")
                        withClue(response) {
                            response.data shouldBe emptyList()
                            response.isComplete shouldBe false
                        }
                    }
                }
            }
        }

        // An instance writes a part of its stream once more, in the same response.
        test("an event that an instance repeats does not reach the caller twice") {
            val attempts =
                Attempts(
                    { request, output -> output.whole(request, events(listOf(1, 2, 2, 3))) },
                    { request, output -> output.whole(request, events(3..4)) },
                )
            withGateway(*attempts.instances.toTypedArray()) {
                val response = call(RESUMED)
                withClue(response) { response.data shouldBe listOf("e1", "e2", "e3", "e4") }
            }
        }

        // The ids of a stream increase by any step.
        test("a stream continues with a response whose ids leave some out") {
            val attempts =
                Attempts(
                    { request, output -> output.broken(request, events(listOf(1, 5, 9))) },
                    { request, output -> output.whole(request, events(listOf(10, 99, 1_000))) },
                )
            withGateway(*attempts.instances.toTypedArray()) {
                val response = call(RESUMED)
                withClue(response) {
                    response.data shouldBe listOf("e1", "e5", "e9", "e10", "e99", "e1000")
                    response.isComplete shouldBe true
                }
            }
        }

        // The caller's own position must not be lost, nor sent beside that of the entry.
        listOf("" to "3", events(4..5) to "5", "id: 4\nda" to "3", ": ready\n\n" to "3").forEach { (text, position) ->
            val quoted = text.replace("\n", "\\n")
            test("a stream that its caller resumes continues at $position after an instance sent \"$quoted\"") {
                val attempts =
                    Attempts(
                        { request, output -> output.broken(request, text) },
                        { request, output ->
                            val after = request.header("Last-Event-Id")?.toInt() ?: 0
                            output.whole(request, events(after + 1..7))
                        },
                    )
                withGateway(*attempts.instances.toTypedArray()) {
                    repeat(CALLS) {
                        val response = call(RESUMED, id = "r$it", headers = "last-event-id: 3\r\n")
                        withClue(response) {
                            response.data shouldBe listOf("e4", "e5", "e6", "e7")
                            response.isComplete shouldBe true
                        }
                    }
                    attempts.resumedAt.toList() shouldBe List(CALLS) { listOf(position) }
                }
            }
        }

        // The end was lost after the last event: the continuation has no further event.
        test("a stream whose instance broke off after the last event ends as complete without another event") {
            val attempts =
                Attempts(
                    { request, output -> output.broken(request, events(1..3)) },
                    { request, output -> output.whole(request, "") },
                )
            withGateway(*attempts.instances.toTypedArray()) {
                val response = call(RESUMED)
                withClue(response) {
                    response.data shouldBe listOf("e1", "e2", "e3")
                    response.isComplete shouldBe true
                }
                attempts.resumedAt.toList() shouldBe listOf(listOf("3"))
            }
        }
    })
