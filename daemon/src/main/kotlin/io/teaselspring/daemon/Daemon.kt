/*
 * One run of the daemon: starts the role of its settings, says where it listens, and drains on SIGTERM.
 */
package io.teaselspring.daemon

import io.ktor.network.selector.SelectorManager
import io.teaselspring.core.Incarnation
import io.teaselspring.daemon.agent.Agent
import io.teaselspring.daemon.config.staticConfigSource
import io.teaselspring.daemon.entry.Entry
import io.teaselspring.daemon.entry.EntryParts
import io.teaselspring.daemon.link.LinkContext
import io.teaselspring.daemon.link.LinkIdentity
import io.teaselspring.daemon.settings.Settings
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.slf4j.LoggerFactory
import java.util.UUID
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.io.path.readText
import kotlin.system.exitProcess

private val log = LoggerFactory.getLogger("io.teaselspring.daemon")

private const val EXIT_FAILED = 1

/** A started role. [addresses] are the bound ones by listener name. */
internal class Running(
    val addresses: Map<String, String>,
    val drain: suspend () -> Unit,
)

/** Runs until a drain has ended and exits with code 0; with code 1 if the role cannot be started. */
internal fun runDaemon(settings: Settings): Nothing {
    val stop = CompletableDeferred<Unit>()
    val exitCode = AtomicInteger(EXIT_FAILED)
    val finished = CountDownLatch(1)
    // SIGTERM starts the hook; halting at its end makes the exit code that of the drain instead of 143.
    val hook =
        Thread {
            stop.complete(Unit)
            finished.await()
            Runtime.getRuntime().halt(exitCode.get())
        }
    Runtime.getRuntime().addShutdownHook(hook)
    // A loop that fails would leave a process that looks alive; ending it makes the platform start a new one.
    val fatal =
        CoroutineExceptionHandler { _, error ->
            log.error("event=fatal error=\"{}\"", error.toString(), error)
            Runtime.getRuntime().halt(EXIT_FAILED)
        }
    try {
        runBlocking {
            val running = start(settings, CoroutineScope(Dispatchers.Default + fatal))
            println("event=listening " + running.addresses.entries.joinToString(" ") { "${it.key}=${it.value}" })
            stop.await()
            running.drain()
        }
        exitCode.set(0)
    } catch (e: Exception) {
        log.error("event=start_failed error=\"{}\"", e.toString())
    }
    finished.countDown()
    exitProcess(exitCode.get())
}

private suspend fun start(
    settings: Settings,
    scope: CoroutineScope,
): Running {
    val links =
        LinkContext(
            LinkIdentity(
                settings.instance,
                Incarnation(UUID.randomUUID().toString()),
                settings.role,
                settings.dataCentre,
                settings.agent?.upstream,
                settings.agent?.models.orEmpty(),
            ),
            settings.sharedSecretFile
                .readText()
                .trim()
                .encodeToByteArray(),
            SelectorManager(Dispatchers.IO),
        )
    val agentSettings = settings.agent
    return if (agentSettings != null) {
        val agent = Agent(scope, agentSettings, links, settings.limits.streamIdleMs)
        Running(mapOf("internal" to agent.start(settings.addresses.internal)), agent::drain)
    } else {
        val config = staticConfigSource(requireNotNull(settings.staticConfig) { "static_config is needed" })
        val entry = Entry(scope, settings, links, EntryParts(config, { settings.seeds }))
        val addresses = entry.start()
        Running(mapOf("callers" to addresses.callers, "internal" to addresses.internal), entry::drain)
    }
}
