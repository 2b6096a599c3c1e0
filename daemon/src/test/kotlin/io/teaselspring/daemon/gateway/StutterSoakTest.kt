/*
 * Guards against responses that are joined from two, lost or given to another request, under load and changes:
 * instances stutter for good, leave, are replaced and reset, while an entry is drained, the process of another one ends
 * and configurations come. Callers use each connection until it is closed. The number of seeds is the system property
 * `soak.seeds`, the first one `soak.first`, and the shares of exchanges in which instances stutter `soak.shares`.
 */
package io.teaselspring.daemon.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.ints.shouldBeGreaterThan
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.io.BufferedInputStream
import java.io.EOFException
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private const val ENTRIES = 4
private const val INSTANCES = 5
private const val CALLERS = 16
private const val SILENCE_LIMIT_MS = 5_000
private val DURATION = 6.seconds

/** How long a load balancer goes on to send callers to an entry that is draining. */
private val STILL_BALANCED = 1_500.milliseconds
private val ROUTES = listOf(PLAIN, ORDER, STREAM, RESUMED)

/** Whether callers may open connections to an entry, and whether its process has been ended. */
private enum class EntryState { SERVING, DRAINING, ENDED }

private class SoakEntry(
    val name: String,
    val connect: () -> Socket,
    val request: (route: String, id: String) -> ByteArray,
) {
    val state = AtomicReference(EntryState.SERVING)
}

/** A response as far as it arrives, by its own framing; [onEnd] is called if the connection ends before it does. */
private fun InputStream.readResponse(onEnd: (IOException) -> Unit): String {
    val text = StringBuilder()

    fun take(count: Int) = repeat(count) { text.append((read().takeIf { it >= 0 } ?: throw EOFException()).toChar()) }

    fun takeUntil(end: String): String {
        val start = text.length
        while (!text.endsWith(end) || text.length < start + end.length) take(1)
        return text.substring(start, text.length - end.length)
    }
    try {
        val head = ReceivedResponse(takeUntil("\r\n\r\n") + "\r\n\r\n")
        if (head.header("Transfer-Encoding") == "chunked") {
            do {
                val size = takeUntil("\r\n").toInt(16)
                take(size + 2)
            } while (size > 0)
        } else {
            take(head.header("Content-Length")?.toInt() ?: Int.MAX_VALUE)
        }
    } catch (e: IOException) {
        onEnd(e)
    }
    return text.toString()
}

/** A caller that sends requests one by one or pipelined, and uses a connection until it is closed. */
private class SoakCaller(
    private val name: String,
    private val journal: StutterJournal,
    seed: Int,
) {
    private val random = Random(seed)
    private var requests = 0

    fun run(
        entries: List<SoakEntry>,
        isOver: () -> Boolean,
    ) {
        while (!isOver()) {
            val entry = entries.filter { it.state.get() == EntryState.SERVING }.random(random)
            try {
                entry.connect().use { useUntilClosed(entry, it, isOver) }
            } catch (e: IOException) {
                if (entry.state.get() != EntryState.ENDED) journal.addProblem(SoakProblem.LOST, "$name: $e")
            }
        }
    }

    private fun useUntilClosed(
        entry: SoakEntry,
        socket: Socket,
        isOver: () -> Boolean,
    ) {
        socket.soTimeout = SILENCE_LIMIT_MS
        val input = socket.getInputStream().buffered()
        while (!isOver() && exchange(entry, socket, input)) Thread.sleep(random.nextLong(20))
    }

    /** Sends one to three requests at once and reads their responses; returns whether the connection is still open. */
    private fun exchange(
        entry: SoakEntry,
        socket: Socket,
        input: BufferedInputStream,
    ): Boolean {
        if (input.available() > 0) return withoutRequest(input)
        val routes = List(if (random.nextInt(4) == 0) random.nextInt(2, 4) else 1) { ROUTES.random(random) }
        val ids = routes.map { "${it.trim('/')}-$name-${++requests}" }
        val bytes = routes.zip(ids) { route, id -> entry.request(route, id) }.reduce(ByteArray::plus)
        socket.getOutputStream().write(bytes)
        return ids.all { id -> readOne(entry, input, id, isLast = id == ids.last()) }
    }

    private fun readOne(
        entry: SoakEntry,
        input: InputStream,
        id: String,
        isLast: Boolean,
    ): Boolean {
        var end: IOException? = null
        val response =
            try {
                ReceivedResponse(input.readResponse { end = it })
            } catch (e: NumberFormatException) {
                journal.addProblem(SoakProblem.MALFORMED, "$id: $e")
                return false
            }
        // The end of an event loop, unlike that of a process, may leave connections open.
        val mayBeLost = entry.state.get() == EntryState.ENDED
        if (!mayBeLost && (response.text.isEmpty() || end is SocketTimeoutException)) {
            journal.addProblem(SoakProblem.LOST, "$id, ${entry.name}, ${entry.state}: $end ${response.text}")
        }
        if (response.text.isEmpty()) return false
        journal.check(id, response)
        val closes = response.header("Connection").equals("close", ignoreCase = true)
        if (closes && end == null) {
            if (!isLast) journal.addProblem(SoakProblem.LOST, "closed before the next of a batch: $id ${response.text}")
            if (runCatching { input.read() }.getOrDefault(-1) >= 0) withoutRequest(input)
        }
        return end == null && !closes
    }

    private fun withoutRequest(input: InputStream): Boolean {
        val bytes = ByteArray(input.available()).also { input.read(it) }
        journal.addProblem(SoakProblem.WITHOUT_REQUEST, "$name: ${bytes.decodeToString()}")
        return false
    }
}

private suspend fun runCallers(
    entries: List<SoakEntry>,
    journal: StutterJournal,
    seed: Int,
    duration: Duration = DURATION,
) = coroutineScope {
    val end = TimeSource.Monotonic.markNow() + duration
    List(
        CALLERS,
    ) { async { SoakCaller("$it", journal, seed * 100 + it).run(entries) { end.hasPassedNow() } } }.awaitAll()
}

/** Changes to the site that overlap, each at moments that [seed] gives. */
private class SoakChanges(
    private val sites: List<GatewaySite>,
    private val entries: List<SoakEntry>,
    private val instances: MutableList<StutteringInstance>,
    private val newInstance: (name: String) -> StutteringInstance,
    private val seed: Int,
) {
    fun CoroutineScope.start(): List<Job> =
        listOf(
            launch { Random(seed).replaceInstances() },
            launch { Random(seed + 1).resetInstances() },
            launch { Random(seed + 2).changeConfigurations() },
            launch { Random(seed + 3).drain(0) },
            launch { Random(seed + 4).endProcess(1, within = 4_000) },
            launch { Random(seed + 5).drain(2) },
            launch { Random(seed + 6).endProcess(2, within = 6_000) },
        )

    private suspend fun Random.replaceInstances() =
        repeat(INSTANCES) { index ->
            delay(nextLong(300, 900))
            instances[index].isLeaving.set(true)
            val next = newInstance("next-$index")
            instances += next
            sites.forEach { it.add("next-$index", next.upstream) }
            delay(nextLong(300))
            if (nextBoolean()) sites.forEach { it.instances.set("engine-$index", null) }
        }

    private suspend fun Random.resetInstances() =
        repeat(6) {
            delay(nextLong(200, 900))
            val instance = instances.random(this)
            instance.isResetting.set(true)
            delay(nextLong(10, 80))
            instance.isResetting.set(false)
        }

    private suspend fun Random.changeConfigurations() =
        repeat(8) { change ->
            delay(nextLong(100, 800))
            sites.forEach { it.config.set("config", it.configOf(version = change + 2L)) }
        }

    private suspend fun Random.drain(entry: Int) =
        coroutineScope {
            delay(nextLong(200, 2_500))
            val drain = launch { sites[entry].drain() }
            delay(STILL_BALANCED)
            entries[entry].state.compareAndSet(EntryState.SERVING, EntryState.DRAINING)
            drain.join()
        }

    private suspend fun Random.endProcess(
        entry: Int,
        within: Long,
    ) {
        delay(nextLong(within))
        entries[entry].state.set(EntryState.ENDED)
        sites[entry].endProcess()
    }
}

class StutterSoakTest :
    FunSpec({
        val seeds = System.getProperty("soak.seeds")?.toInt() ?: 3
        val first = System.getProperty("soak.first")?.toInt() ?: 1
        val shares = System.getProperty("soak.shares")?.split(',')?.map { it.toDouble() } ?: listOf(0.0, 0.1, 0.3)
        for (seed in first until first + seeds) {
            test("callers of stuttering instances get their own responses whole or an error: seed $seed") {
                val journal = StutterJournal()
                val newInstance = { name: String ->
                    StutteringInstance(name, journal, seed, share = shares[name.hashCode().mod(shares.size)])
                }
                val instances = MutableList(INSTANCES) { newInstance("engine-$it") }
                val upstreams = instances.map { it.upstream }.toTypedArray()
                val times = GatewayTimes(usageWindow = 1.hours, stopLimit = 4.seconds)
                withGateways(ENTRIES, *upstreams, times = times, timeoutMs = 1_000) { sites ->
                    val entries =
                        sites.mapIndexed { index, site ->
                            SoakEntry("entry $index", { site.connect() }, { route, id -> site.request(route, id = id) })
                        }
                    coroutineScope {
                        val changes = with(SoakChanges(sites, entries, instances, newInstance, seed)) { start() }
                        runCallers(entries, journal, seed)
                        changes.forEach { it.cancel() }
                    }
                }
                println("seed $seed: whole ${journal.whole}, broken ${journal.broken}, stutters ${journal.stutters}")
                val problems = journal.allProblems()
                withClue("${problems.size} of ${journal.whole}: ${problems.joinToString("\n")}") {
                    problems.shouldBeEmpty()
                }
                journal.whole.get() shouldBeGreaterThan 300
                journal.stutters.get() shouldBeGreaterThan 50
            }
        }

        test("callers that use a stuttering instance without an entry meet every problem") {
            val journal = StutterJournal()
            val instance = StutteringInstance("direct", journal, seed = 1, share = 0.5, isLying = true)
            val port =
                instance.upstream.address
                    .substringAfter(':')
                    .toInt()
            val entry =
                SoakEntry("none", { Socket(InetAddress.getLoopbackAddress(), port) }) { route, id ->
                    "POST ${route}x HTTP/1.1\r\nX-Request-Id: $id\r\n\r\n".toByteArray()
                }
            instance.upstream.use { runCallers(listOf(entry), journal, seed = 1, duration = 1.seconds) }
            journal.allProblems().map { it.first } shouldContainAll SoakProblem.entries
        }
    })
