/*
 * What engines of an emulation say in their responses about the requests that they want: none for a while, or none any
 * more. A pause is said in refusals, leaving in the head of every response. The registry's rows tell of engines that
 * leave only if they write so there.
 */
package io.teaselspring.experiment.prompts

import io.teaselspring.experiment.EventLoop

/** The first [engines] engines refuse all requests from [fromMs] on for [forMs] and ask for a pause until its end. */
data class EnginePause(
    val engines: Int,
    val fromMs: Long,
    val forMs: Long,
)

/**
 * From [fromMs] on one engine after the other, [everyMs] apart, says that it is leaving. It serves what it gets for
 * [staysMs], which is longer than the [drainMs] that entries have, then exits, and a new process starts after [goneMs].
 * Only if it [writesRow] do the entries read in the registry that it drains.
 */
data class EngineRelease(
    val fromMs: Long,
    val everyMs: Long,
    val drainMs: Long = 2_000,
    val staysMs: Long = 6_000,
    val goneMs: Long = 2_000,
    val writesRow: Boolean = false,
)

/** The [pauses] and the [release] of a scenario. */
data class EngineStatements(
    val pauses: List<EnginePause> = emptyList(),
    val release: EngineRelease? = null,
)

internal fun EngineStatements.schedule(
    loop: EventLoop,
    fleet: List<PromptEngine>,
) {
    pauses.forEach { pause ->
        loop.at(pause.fromMs) { fleet.take(pause.engines).forEach { it.pausedUntilMs = pause.fromMs + pause.forMs } }
    }
    val release = release ?: return
    fleet.forEachIndexed { index, engine ->
        val leavesMs = release.fromMs + index * release.everyMs
        loop.at(leavesMs) { engine.isLeaving = true }
        if (release.writesRow) loop.at(leavesMs + REGISTRY_MS) { engine.isDraining = engine.isLeaving }
        loop.at(leavesMs + release.staysMs) { engine.crash() }
        loop.at(leavesMs + release.staysMs + release.goneMs) { engine.restart() }
    }
}

/** Until all entries have read a changed row. */
private const val REGISTRY_MS = 1_400L
