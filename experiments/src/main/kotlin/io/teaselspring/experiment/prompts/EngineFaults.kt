/*
 * What goes wrong with the engines of a scenario, and what they state in their responses.
 */
package io.teaselspring.experiment.prompts

import io.teaselspring.experiment.EventLoop

/** The first [count] engines crash at [atMs] and are back, empty, after [forMs]. */
data class Crash(
    val count: Int,
    val atMs: Long,
    val forMs: Long,
)

/** Requests with the part of [added] crash their engine, which is back, empty, after [forMs]. */
data class CrashingPart(
    val added: AddedPart,
    val forMs: Long,
)

/** Crashes of engines at set times, those that requests cause, a limit that engines state, and what they want. */
data class EngineFaults(
    val timed: List<Crash> = emptyList(),
    val byPart: CrashingPart? = null,
    val limit: EngineLimit? = null,
    val statements: EngineStatements? = null,
)

/** The first [engines] engines state from [fromMs] to [toMs] that they take [perSecond] requests from all entries. */
data class EngineLimit(
    val engines: Int,
    val perSecond: Double,
    val fromMs: Long,
    val toMs: Long,
)

internal fun EngineFaults.schedule(
    loop: EventLoop,
    fleet: List<PromptEngine>,
    onCrashedByRequest: () -> Unit,
) {
    timed.forEach { crash ->
        loop.at(crash.atMs) { fleet.take(crash.count).forEach { it.crash() } }
        loop.at(crash.atMs + crash.forMs) { fleet.take(crash.count).forEach { it.restart() } }
    }
    limit?.schedule(loop, fleet)
    statements?.schedule(loop, fleet)
    fleet.forEach { engine ->
        engine.onCrashedByRequest = {
            onCrashedByRequest()
            val crash = engine.crashes
            loop.after(checkNotNull(byPart).forMs * US_PER_MS) { if (engine.crashes == crash) engine.restart() }
        }
    }
}

private fun EngineLimit.schedule(
    loop: EventLoop,
    fleet: List<PromptEngine>,
) {
    val limited = fleet.take(engines)
    loop.at(fromMs) { limited.forEach { it.statedLimit = perSecond } }
    loop.at(toMs) { limited.forEach { it.statedLimit = null } }
}

private const val US_PER_MS = 1_000L
