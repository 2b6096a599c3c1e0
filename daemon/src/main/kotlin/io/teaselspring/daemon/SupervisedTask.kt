/*
 * Supervision of the background tasks of a process. An exception in one task must not end the process, which would cut
 * off all its requests, nor end the task for good, which would leave a process that only looks alive. An error of the
 * virtual machine, such as a lack of memory or a class that cannot be loaded, still ends the process: every task would
 * meet it.
 */
package io.teaselspring.daemon

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val log = LoggerFactory.getLogger("io.teaselspring.daemon")

/** Called with the name of a task after each of its failures. */
internal typealias OnTaskFailure = (task: String) -> Unit

/**
 * Launches [task], called [name] in logs, and runs it again after a failure: after [initialDelay] at first, after up to
 * [maxDelay] while it keeps failing. A run that took [maxDelay] or longer ends such a series. The job ends when [task]
 * returns.
 */
internal fun CoroutineScope.launchRestarting(
    name: String,
    onFailure: OnTaskFailure = {},
    initialDelay: Duration = 250.milliseconds,
    maxDelay: Duration = 5.seconds,
    timeSource: TimeSource = TimeSource.Monotonic,
    task: suspend () -> Unit,
): Job =
    launch {
        var restartDelay = initialDelay
        while (true) {
            val started = timeSource.markNow()
            if (runLoggingFailure(name, onFailure, task)) return@launch
            if (started.elapsedNow() >= maxDelay) restartDelay = initialDelay
            delay(restartDelay)
            restartDelay = minOf(restartDelay * 2, maxDelay)
        }
    }

/** Launches [task], called [name] in logs, which is not run again after a failure. */
internal fun CoroutineScope.launchOnce(
    name: String,
    onFailure: OnTaskFailure = {},
    task: suspend () -> Unit,
): Job = launch { runLoggingFailure(name, onFailure, task) }

/** Runs [task] and returns true, or false after a failure. Throws [Error]s, and the cancellation of the caller. */
private suspend fun runLoggingFailure(
    name: String,
    onFailure: OnTaskFailure,
    task: suspend () -> Unit,
): Boolean =
    try {
        task()
        true
    } catch (e: Exception) {
        // A cancellation that is not the caller's own, such as a time limit within the task, is a failure as well.
        currentCoroutineContext().ensureActive()
        logFailure(name, onFailure, e)
        false
    } catch (e: StackOverflowError) {
        logFailure(name, onFailure, e)
        false
    }

private fun logFailure(
    name: String,
    onFailure: OnTaskFailure,
    error: Throwable,
) {
    log.error("event=task_failed task={} error=\"{}\"", name, error.toString(), error)
    onFailure(name)
}
