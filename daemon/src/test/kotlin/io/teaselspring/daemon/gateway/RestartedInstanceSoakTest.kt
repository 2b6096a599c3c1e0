/*
 * Guards against streams that are joined from two software versions while instances start again and again under their
 * ids and addresses with other versions, their rows late, and streams and connections break at any time. The number of
 * seeds is the system property `restart.seeds`; with `restart.asks=false` the entry does not ask for processes.
 */
package io.teaselspring.daemon.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.teaselspring.daemon.control.FakePlatform
import io.teaselspring.daemon.eventually
import io.teaselspring.daemon.http.ProcessQuery
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds

private const val INSTANCES = 4
private const val CALLERS = 8
private const val CALLS = 40
private const val EVENTS = 8
private const val PROCESS_PATH = "/process"
private val seeds = 1..(System.getProperty("restart.seeds")?.toInt() ?: 3)
private val processQuery =
    ProcessQuery(PROCESS_PATH, startedAtMsOf = { it.toLongOrNull() })
        .takeUnless { System.getProperty("restart.asks") == "false" }

/** An instance at one address whose process is replaced; its streams and connections break at random. */
private class ReplacedInstance(
    val id: String,
    private val random: Random,
) : AutoCloseable {
    private class Process(
        val version: String,
        val startedAtMs: Long,
    ) {
        @Volatile var isOver = false
    }

    @Volatile private var process = Process("v1", 1)

    @Volatile var upstream = listen(0, process)
        private set
    val startedAtMs: Long get() = process.startedAtMs

    private fun listen(
        port: Int,
        own: Process,
    ) = ScriptedUpstream(port) { request, output ->
        when {
            // The process has lost power: its connections look open until they are used.
            own.isOver -> ConnectionAction.RESET
            request.line.startsWith("GET $PROCESS_PATH ") -> {
                output.respond(request, "${own.startedAtMs}")
                if (happensIn(10)) ConnectionAction.RESET else ConnectionAction.KEEP
            }
            else -> {
                output.streamHead(request)
                val after = request.header("Last-Event-Id")?.toInt() ?: 0
                val isWhole =
                    (after + 1..EVENTS).all { id ->
                        val goesOn = !own.isOver && !happensIn(40)
                        if (goesOn) output.chunk("id: $id\ndata: ${own.version}\n\n")
                        Thread.sleep(5)
                        goesOn
                    }
                if (isWhole) output.lastChunk()
                if (isWhole) ConnectionAction.KEEP else ConnectionAction.RESET
            }
        }
    }

    private fun happensIn(times: Int) = synchronized(random) { random.nextInt(times) == 0 }

    fun restart(
        version: String,
        startedAtMs: Long,
    ) {
        val port = upstream.address.substringAfterLast(':').toInt()
        process.isOver = true
        upstream.close()
        process = Process(version, startedAtMs)
        upstream = listen(port, process)
    }

    override fun close() = upstream.close()
}

/** One caller's stream: the versions of its events, and whether it was resumed and went on. */
private class CallersStream(
    val versions: Set<String>,
    val isResumed: Boolean,
    val wentOn: Boolean,
)

private fun GatewaySite.callAndResume(id: String): CallersStream {
    val first = call(RESUMED, id = id)
    val lastId =
        Regex("id: (\\d+)")
            .findAll(first)
            .lastOrNull()
            ?.groupValues
            ?.get(1)
    if (!first.isCut() || lastId == null) return CallersStream(first.versions(), isResumed = false, wentOn = false)
    val rest = call(RESUMED, id = "$id-2", headers = "Last-Event-Id: $lastId\r\nX-Resumes: $id\r\n")
    return CallersStream(first.versions() + rest.versions(), isResumed = true, wentOn = "data: " in rest)
}

/** Restarts instances until cancelled; the row of each process comes up to 800 ms after its start. */
private suspend fun CoroutineScope.restartInstances(
    site: GatewaySite,
    instances: List<ReplacedInstance>,
    random: Random,
) {
    var startedAtMs = 1L
    while (true) {
        delay(random.nextLong(100, 300).milliseconds)
        val own = ++startedAtMs
        val version = "v${random.nextInt(1, 4)}"
        val instance = instances[random.nextInt(INSTANCES)]
        val rowDelay = random.nextLong(800).milliseconds
        instance.restart(version, own)
        launch {
            delay(rowDelay)
            val isCurrent = instance.startedAtMs == own
            if (isCurrent) site.add(instance.id, instance.upstream, version = version, startedAtMs = own)
        }
    }
}

private suspend fun runSeed(seed: Int): List<CallersStream> {
    val random = Random(seed)
    val instances = List(INSTANCES) { ReplacedInstance("i-$it", Random(random.nextInt())) }
    val times = GatewayTimes(1.hours, stopLimit = 5.hours, registryInterval = REGISTRY_INTERVAL)
    val streams = ConcurrentLinkedQueue<CallersStream>()
    GatewaySite(emptyList(), platform = FakePlatform(processQuery), times = times).use { site ->
        instances.forEach { site.add(it.id, it.upstream, version = "v1") }
        eventually { site.isReady() shouldBe true }
        delay(REGISTRY_INTERVAL * 4)
        coroutineScope {
            val callers =
                List(CALLERS) { caller ->
                    async { repeat(CALLS) { streams += site.callAndResume("c$caller-$it") } }
                }
            val restarts = launch { restartInstances(site, instances, random) }
            callers.awaitAll()
            restarts.cancel()
        }
    }
    instances.forEach { it.close() }
    return streams.toList()
}

class RestartedInstanceSoakTest :
    FunSpec({
        seeds.forEach { seed ->
            test("no stream is joined while instances start again at other versions, seed $seed") {
                val streams = withContext(Dispatchers.IO) { runSeed(seed) }
                val served = streams.count { it.versions.isNotEmpty() }
                val resumed = streams.count { it.isResumed }
                val clue =
                    "${streams.size} streams, $served with events, $resumed resumed, ${streams.count {
                        it.wentOn
                    }} went on"
                println("seed $seed: $clue")
                withClue(clue) {
                    streams.filter { it.versions.size > 1 }.map { it.versions }.shouldBeEmpty()
                    served * 2 shouldBeGreaterThan streams.size
                }
            }
        }
    })
