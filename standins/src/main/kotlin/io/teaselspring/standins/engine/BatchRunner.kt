/*
 * Runs the batch in real time, under the faults in force, and remembers the load for reports that lag.
 */
package io.teaselspring.standins.engine

import io.teaselspring.standins.LaggedHistory
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Faults in force; each `POST /faults` replaces all of them. A null lag means the one of the settings. */
@Serializable
internal data class EngineFaults(
    @SerialName("speed_pct") val speedPct: Int = 100,
    val hang: Boolean = false,
    val crash: Boolean = false,
    @SerialName("report_lag_ms") val reportLagMs: Long? = null,
    @SerialName("cut_after_events") val cutAfterEvents: Int? = null,
)

private class LoadSample(
    val load: Load,
    val tokens: Long,
)

/** The one batch of an engine. */
internal class BatchRunner(
    private val settings: EngineSettings,
    private val timeSource: TimeSource.WithComparableMarks,
) {
    private val batch = Batch(settings)
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private val samples = LaggedHistory(LoadSample(batch.load(), 0), timeSource)
    val faults = MutableStateFlow(EngineFaults())

    @Synchronized
    private fun <T> change(block: Batch.() -> T): T =
        batch.block().also { samples.record(LoadSample(batch.load(), batch.tokens)) }

    fun submit(job: BatchJob) {
        change { submit(job) }
        wake.trySend(Unit)
    }

    /** Frees the slot or the place in the queue of [job] at once; does nothing if it is complete. */
    fun cancel(job: BatchJob) = change { cancel(job) }

    /** Runs step after step until cancelled. */
    suspend fun run() {
        var due = timeSource.markNow()
        while (true) {
            faults.first { !it.hang }
            val stepMs = change { beginStep() }
            if (stepMs == null) {
                wake.receive()
                due = timeSource.markNow()
                continue
            }
            // Counted from when the last step was due, so that the timer's lateness does not add up.
            due = maxOf(due, timeSource.markNow() - 20.milliseconds) +
                (stepMs * 1e6 * 100 / faults.value.speedPct).toLong().nanoseconds
            delay(due - timeSource.markNow())
            faults.first { !it.hang }
            change { endStep() }
        }
    }

    /** The load as it was the report lag ago. */
    fun reportedLoad(): Load {
        val lag = (faults.value.reportLagMs ?: settings.reportLagMs).milliseconds
        val sample = samples.at(lag)
        val produced = sample.tokens - samples.at(lag + 1.seconds).tokens
        return sample.load.copy(tokensPerSecond = produced.toDouble())
    }
}
