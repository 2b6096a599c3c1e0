/*
 * The requests that reach engines of an emulation although they have said that they want none, counted where they
 * arrive, from the moment at which the engine answered.
 */
package io.teaselspring.experiment.prompts

import io.teaselspring.core.InstanceId
import io.teaselspring.experiment.EventLoop

private data class Pause(
    val entry: Int,
    val engine: InstanceId,
    val untilMs: Long,
)

private data class Leaving(
    val entry: Int,
    val engine: InstanceId,
    val process: Int,
)

private class Statement(
    val saidMs: Long,
    var arrivals: Int = 0,
)

/** How many requests came per second and engine, and the most that came to one engine in a tenth of a second. */
data class ArrivalFigures(
    val perSecond: Double,
    val mostAtOnce: Int,
)

/** What reaches engines that have said something under [statements]. */
class StatedArrivals(
    private val loop: EventLoop,
    private val statements: EngineStatements?,
) {
    private val drainMs = statements?.release?.drainMs ?: Long.MAX_VALUE
    private val pauses = HashMap<Pause, Statement>()
    private val leavings = HashMap<Leaving, Statement>()
    private val arrivals = HashMap<InstanceId, MutableList<Long>>()

    /** Refusals of engines in a pause. */
    var refusals = 0
        private set

    /** Requests that an engine still had when it exited. */
    var cutOff = 0
        private set

    /** How often an entry has been told of a pause, and that an engine is leaving. */
    val heardPauses: Int get() = pauses.size
    val heardLeavings: Int get() = leavings.size

    /** Requests within a pause and later than half a second after it was stated. */
    val inPause: Int get() = pauses.values.sumOf { it.arrivals }

    /** The most of them of one entry at one engine in one pause. */
    val mostInPause: Int get() = pauses.values.maxOfOrNull { it.arrivals } ?: 0

    /** Requests later than the release's `drainMs` after the engine had told their entry that it was leaving. */
    val afterDrain: Int get() = leavings.values.sumOf { it.arrivals }

    /** A request of [entry] reaches [engine]. */
    fun arrived(
        entry: Int,
        engine: PromptEngine,
    ) {
        if (statements == null || !engine.isUp) return
        arrivals.getOrPut(engine.id, ::ArrayList) += loop.nowMs
        leavings[leaving(entry, engine)]?.let { if (loop.nowMs - it.saidMs > drainMs) it.arrivals += 1 }
        if (engine.statedPause == null) return
        pauses[pause(entry, engine)]?.let { if (loop.nowMs - it.saidMs > ON_THE_WAY_MS) it.arrivals += 1 }
    }

    fun cut() {
        cutOff += 1
    }

    /** [engine] answers [entry]. */
    fun answered(
        entry: Int,
        engine: PromptEngine,
        isRefusal: Boolean,
    ) {
        if (engine.isLeaving) leavings.putIfAbsent(leaving(entry, engine), Statement(loop.nowMs))
        if (!isRefusal) return
        refusals += 1
        pauses.putIfAbsent(pause(entry, engine), Statement(loop.nowMs))
    }

    /** What the engines of each pause got in the [forMs] that start [afterMs] after its end, or before its start. */
    fun beforePauses(forMs: Long): ArrivalFigures = figures { it.fromMs - forMs until it.fromMs }

    fun afterPauses(
        afterMs: Long,
        forMs: Long,
    ): ArrivalFigures = figures { (it.fromMs + it.forMs + afterMs).let { from -> from until from + forMs } }

    private fun figures(window: (EnginePause) -> LongRange): ArrivalFigures {
        val counts =
            statements?.pauses.orEmpty().flatMap { pause ->
                val range = window(pause)
                val seconds = (range.last - range.first + 1) / MS_PER_S
                List(pause.engines) { index ->
                    val times = arrivals[InstanceId("engine-$index")].orEmpty().filter { it in range }
                    ArrivalFigures(times.size / seconds, times.maxOfOrNull { at -> mostFrom(at, times) } ?: 0)
                }
            }
        if (counts.isEmpty()) return ArrivalFigures(0.0, 0)
        return ArrivalFigures(counts.sumOf { it.perSecond } / counts.size, counts.maxOf { it.mostAtOnce })
    }

    private fun mostFrom(
        atMs: Long,
        times: List<Long>,
    ) = times.count { it in atMs until atMs + AT_ONCE_MS }

    private fun pause(
        entry: Int,
        engine: PromptEngine,
    ) = Pause(entry, engine.id, engine.pausedUntilMs)

    private fun leaving(
        entry: Int,
        engine: PromptEngine,
    ) = Leaving(entry, engine.id, engine.crashes)

    private companion object {
        const val ON_THE_WAY_MS = 500L
        const val AT_ONCE_MS = 100L
        const val MS_PER_S = 1_000.0
    }
}
