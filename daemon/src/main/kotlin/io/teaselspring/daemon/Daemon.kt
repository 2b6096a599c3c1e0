/*
 * One run of the daemon: starts the role of its settings, says where it listens, and drains on SIGTERM.
 */
package io.teaselspring.daemon

import io.teaselspring.daemon.settings.Settings
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.slf4j.LoggerFactory
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.system.exitProcess

private val log = LoggerFactory.getLogger("io.teaselspring.daemon")

private const val EXIT_FAILED = 1

/** A started role. [addresses] are the bound ones by listener; [drain] returns when all accepted work has ended. */
class Running(
    val addresses: Map<String, String>,
    val drain: suspend () -> Unit,
)

/** Runs the role of [settings] until a drain has ended. */
internal fun runDaemon(settings: Settings): Nothing =
    runUntilStopped { scope, requestDrain -> startRole(settings, scope, requestDrain) }

/**
 * Runs what [start] starts until SIGTERM, or until the function passed to [start] is called, and its drain has ended.
 * Exits with code 0; with code 1 if it cannot be started.
 */
fun runUntilStopped(start: suspend (scope: CoroutineScope, requestDrain: () -> Unit) -> Running): Nothing {
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
    // An error outside the supervised tasks would leave a process that looks alive; ending it makes the platform start
    // a new one.
    val fatal =
        CoroutineExceptionHandler { _, error ->
            log.error("event=fatal error=\"{}\"", error.toString(), error)
            Runtime.getRuntime().halt(EXIT_FAILED)
        }
    try {
        runBlocking {
            val running = start(CoroutineScope(Dispatchers.Default + fatal)) { stop.complete(Unit) }
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
