/*
 * Engines of unequal speed: how long work takes on each, lastingly and at the moment.
 */
package io.teaselspring.experiment.prompts

import kotlin.random.Random

/**
 * The engine with the index i lastingly takes the i-th of [lastingPct], over and over again, of the usual time. Beside
 * that, each engine is [slowFactor] times slower for [slowShare] of the time, for [slowMs] at a time.
 */
data class WorkTimes(
    val lastingPct: List<Int> = listOf(USUAL_PCT),
    val slowShare: Double = 0.0,
    val slowFactor: Double = 2.5,
    val slowMs: Long = 600,
) {
    /** Whether engines state how long work takes. */
    val areStated: Boolean get() = this != WorkTimes()

    fun lastingPct(engine: Int): Int = lastingPct[engine % lastingPct.size]

    /** How long work takes on the [engine] at [nowMs], in percent of the usual time. */
    fun pctAt(
        engine: Int,
        nowMs: Long,
    ): Int {
        val lasting = lastingPct(engine)
        if (slowShare == 0.0) return lasting
        val isSlow = Random(nowMs / slowMs * ENGINES + engine).nextDouble() < slowShare
        return if (isSlow) (lasting * slowFactor).toInt() else lasting
    }

    private companion object {
        const val USUAL_PCT = 100
        const val ENGINES = 10_007L
    }
}
