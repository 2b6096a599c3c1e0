/*
 * Starts real processes with the launchers of the repository and ends them by process id, also when a test fails or
 * the JVM of the tests is ended.
 */
package io.teaselspring.integration

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.createDirectories
import kotlin.io.path.deleteRecursively
import kotlin.io.path.exists
import kotlin.io.path.readText
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Generous limit of all waits: many processes start at once on a machine that may be busy. */
val WAIT_LIMIT: Duration = 60.seconds

private const val POLL_MS = 25L

/** The root of the repository, where `bin` is. */
val repositoryRoot: Path =
    generateSequence(Path.of("").toAbsolutePath()) { it.parent }.first { it.resolve("bin/standins").exists() }

/** Polls [condition] until it gives something, or throws with [what] after [limit]. */
fun <T : Any> await(
    what: String,
    limit: Duration = WAIT_LIMIT,
    condition: () -> T?,
): T {
    val start = TimeSource.Monotonic.markNow()
    while (true) {
        condition()?.let { return it }
        check(start.elapsedNow() < limit) { "waited $limit in vain: $what" }
        Thread.sleep(POLL_MS)
    }
}

/** Polls until [condition] holds. */
fun awaitTrue(
    what: String,
    limit: Duration = WAIT_LIMIT,
    condition: () -> Boolean,
) {
    await(what, limit) { if (condition()) true else null }
}

/** A process with its log, which holds standard output and standard error. */
class ManagedProcess(
    val name: String,
    val command: List<String>,
    private val process: Process,
    private val logFile: Path,
) {
    /** Everything that the process has printed so far. */
    val log: String get() = logFile.readText()

    val isAlive: Boolean get() = process.isAlive

    /** The fields of the listening line, once it is printed. */
    val listening: Map<String, String> by lazy {
        await("$name listens") {
            check(process.isAlive || "event=listening" in log) { "$name did not start, its log:\n$log" }
            log.lineSequence().firstOrNull { it.startsWith("event=listening ") && it.isNotBlank() }
        }.split(' ').drop(1).associate { it.substringBefore('=') to it.substringAfter('=') }
    }

    /** Ends the process at once, as a crash does. */
    fun kill() {
        process.destroyForcibly()
        process.waitFor()
    }

    /** Asks the process to stop, without waiting for it. */
    fun terminate() = process.destroy()

    /** The exit code, after waiting for the end. */
    fun awaitExit(limit: Duration = WAIT_LIMIT): Int {
        check(process.waitFor(limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)) { "$name runs on after $limit" }
        return process.exitValue()
    }

    /** Stops the process in the middle of whatever it does. */
    fun freeze() = signal("STOP")

    /** Lets a frozen process go on. */
    fun resume() = signal("CONT")

    private fun signal(signal: String) {
        val exit = ProcessBuilder("kill", "-$signal", process.pid().toString()).inheritIO().start().waitFor()
        check(exit == 0) { "kill -$signal of $name failed" }
    }
}

/** Owns the processes of one test site and their directory. */
@OptIn(ExperimentalPathApi::class)
class ProcessHost : AutoCloseable {
    val directory: Path = Files.createTempDirectory("teaselspring-it")
    private val started = mutableListOf<ManagedProcess>()
    private val hook = Thread { killAll() }.also(Runtime.getRuntime()::addShutdownHook)

    /** Starts `bin/[program]` with [arguments]. */
    fun start(
        name: String,
        program: String,
        arguments: List<String>,
    ): ManagedProcess {
        val logs = directory.resolve("logs").createDirectories()
        val log = logs.resolve("$name-${System.nanoTime()}.log")
        val command = listOf(repositoryRoot.resolve("bin/$program").toString()) + arguments
        val process = ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile()).start()
        return ManagedProcess(name, command, process, log).also { synchronized(started) { started += it } }
    }

    /** Starts the same program with the same arguments again, after the end of [process]. */
    fun restart(process: ManagedProcess): ManagedProcess =
        start(process.name, Path.of(process.command.first()).fileName.toString(), process.command.drop(1))

    /** All that the processes have printed. */
    fun logs(): Map<String, String> = synchronized(started) { started.map { it.name to it.log } }.toMap()

    override fun close() {
        killAll()
        Runtime.getRuntime().removeShutdownHook(hook)
        directory.deleteRecursively()
    }

    private fun killAll() = synchronized(started) { started.toList() }.forEach { it.kill() }
}
