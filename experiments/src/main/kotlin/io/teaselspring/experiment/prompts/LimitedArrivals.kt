/*
 * Limits that engines of an emulation state, and what they get from all entries meanwhile.
 */
package io.teaselspring.experiment.prompts

import io.teaselspring.core.InstanceId
import io.teaselspring.experiment.EventLoop
import kotlin.math.pow

private class LimitedArrival(
    val engine: InstanceId,
    val atMs: Long,
    val wasTold: Boolean,
)

/** The requests that engines got while they stated a limit. */
class LimitedArrivals(
    private val loop: EventLoop,
) {
    private val arrivals = ArrayList<LimitedArrival>()
    private val toldAtMs = HashMap<Pair<Int, InstanceId>, Long>()
    private val firstStatedMs = HashMap<InstanceId, Long>()

    /** Follows an attempt of [entry] on [engine] that is about to be sent. */
    fun observer(
        entry: Int,
        engine: EntryInstanceView,
    ): AttemptObserver {
        if (engine.engine.statedLimit != null) {
            val wasTold = toldAtMs[entry to engine.id].let { it != null && loop.nowMs - it >= TOLD_MS }
            arrivals += LimitedArrival(engine.id, loop.nowMs, wasTold)
        }
        return AttemptObserver(crashed = {}, responded = { recordResponse(entry, engine) })
    }

    private fun recordResponse(
        entry: Int,
        engine: EntryInstanceView,
    ) {
        if (engine.engine.statedLimit == null) return
        firstStatedMs.putIfAbsent(engine.id, loop.nowMs)
        toldAtMs.putIfAbsent(entry to engine.id, loop.nowMs)
    }

    /** The entry [entry] starts anew and has not been told anything. */
    fun forget(entry: Int) {
        toldAtMs.keys.removeAll { it.first == entry }
    }

    /**
     * The most requests that an engine got within [windowMs], from [contactMs] after it first stated its limit on; with
     * [onlyTold] only those of entries that had had a response with the limit half a second before.
     */
    fun mostWithin(
        windowMs: Long,
        contactMs: Long,
        onlyTold: Boolean,
    ): Int =
        firstStatedMs.maxOfOrNull { (engine, firstMs) ->
            val times = arrivalsAt(engine, firstMs + contactMs, onlyTold)
            times.maxOfOrNull { end -> times.count { it in end - windowMs + 1..end } } ?: 0
        } ?: 0

    /** Requests a second that all limited engines got together from [fromMs] to [toMs]. */
    fun perSecond(
        fromMs: Long,
        toMs: Long,
    ): Double = arrivals.count { it.atMs in fromMs until toMs } * MS_PER_S / (toMs - fromMs)

    private fun arrivalsAt(
        engine: InstanceId,
        fromMs: Long,
        onlyTold: Boolean,
    ) = arrivals.filter { it.engine == engine && it.atMs >= fromMs && (it.wasTold || !onlyTold) }.map { it.atMs }

    private companion object {
        const val TOLD_MS = 500L
        const val MS_PER_S = 1_000.0
    }
}

internal fun Callers.schedule(
    loop: EventLoop,
    stopped: MutableSet<Int>,
    onRestart: (entry: Int) -> Unit,
) = stops.forEach { stop ->
    loop.at(stop.fromMs) { stopped += stop.entry }
    loop.at(stop.toMs) {
        onRestart(stop.entry)
        stopped -= stop.entry
    }
}

/** The one of [entries] that gets the request for which the balancer drew [number]. */
internal fun entryFor(
    number: Int,
    entries: Int,
    skew: Double,
): Int = if (skew == 1.0) number % entries else (entries * (number / MOST_ENTRIES).pow(skew)).toInt()

private const val MOST_ENTRIES = 1_000_000.0
