/*
 * Scenarios with the platform's engines: a site, its load, and the run of one policy on the same calls.
 */
package io.teaselspring.experiment.prompts

import io.teaselspring.core.InstanceId
import io.teaselspring.experiment.EventLoop

/** [engines] engines behind [entries] entries. */
class PromptScenario(
    val name: String,
    val description: String,
    val engines: Int,
    val figures: EngineFigures,
    val classes: List<PromptClass>,
    val bursts: List<Burst> = emptyList(),
    val entries: Int = 5,
    val durationMs: Long = 34_000,
    val policies: List<PromptPolicy> = listOf(queuePolicy(), prefixHash, leastLoaded),
)

/** What became of a call. */
class PromptOutcome(
    val call: PromptCall,
) {
    private var firstMs: Long? = null
    private var lastMs = 0L
    private var longestPauseMs = 0L
    var isRefused = false
    var isWhole = false
        private set

    fun event(
        nowMs: Long,
        isLast: Boolean,
    ) {
        if (firstMs == null) firstMs = nowMs else longestPauseMs = maxOf(longestPauseMs, nowMs - lastMs)
        lastMs = nowMs
        isWhole = isLast && nowMs - call.arrivedMs <= call.profile.deadlineMs
    }

    val isInTarget: Boolean
        get() {
            val waitMs = (firstMs ?: return false) - call.arrivedMs
            return isWhole && waitMs <= call.profile.targetMs && longestPauseMs <= call.profile.pauseMs
        }

    val earned: Double get() =
        if (isInTarget) {
            call.profile.worth
        } else if (isWhole) {
            call.profile.lateWorth
        } else {
            0.0
        }
}

/** Figures of one policy: share of the worth earned by class, and tokens of prompts. */
class PromptFigures(
    val policy: String,
    val worth: Map<String, Double>,
    val worstSecondsWorth: Double,
    val refused: Int,
    val readTokens: Long,
    val preempted: Int,
) {
    val totalWorth: Double get() = worth.getValue(TOTAL)

    companion object {
        const val TOTAL = "all"
    }
}

/** Runs [policy] on the calls of [seed]. */
fun PromptScenario.run(
    policy: PromptPolicy,
    seed: Long,
): PromptFigures {
    val loop = EventLoop()
    val fleet = List(engines) { PromptEngine(InstanceId("engine-$it"), loop, figures) }
    val outcomes = drawCalls(seed, durationMs, classes, bursts).map(::PromptOutcome)
    val byCall = outcomes.associateBy { it.call.id }
    val routers = ArrayList<PromptRouter>()
    repeat(entries) { number ->
        val send = { call: PromptCall, engine: KnownEngine, unread: Long ->
            offer(loop, byCall.getValue(call.id), engine, unread) { routers[number].changed() }
        }
        val actions = EntryActions(send) { byCall.getValue(it.id).isRefused = true }
        routers += policy.router(loop, fleet.map(::KnownEngine), entries, actions)
    }
    outcomes.forEach { one -> loop.at(one.call.arrivedMs) { routers[one.call.entry % entries].submit(one.call) } }
    loop.runUntil(durationMs + classes.maxOf { it.deadlineMs })
    return figuresOf(policy, outcomes, fleet)
}

private fun offer(
    loop: EventLoop,
    outcome: PromptOutcome,
    engine: KnownEngine,
    unreadTokens: Long,
    tookUp: () -> Unit,
) {
    engine.pendingTokens += unreadTokens
    var hasBegun = false
    val call = outcome.call
    val request =
        EngineRequest(call.prompt, call.outputTokens, call.profile.priority) { isLast ->
            outcome.event(loop.nowMs, isLast)
            engine.work = engine.engine.load.toDouble()
            if (!hasBegun) {
                hasBegun = true
                engine.pendingTokens -= unreadTokens
                tookUp()
            }
        }
    if (!engine.engine.submit(request)) {
        engine.pendingTokens -= unreadTokens
        outcome.isRefused = true
    }
}

private fun figuresOf(
    policy: PromptPolicy,
    outcomes: List<PromptOutcome>,
    fleet: List<PromptEngine>,
): PromptFigures {
    val byClass = outcomes.groupBy { it.call.profile.name }.mapValues { worthOf(it.value) }
    val windows = outcomes.groupBy { it.call.arrivedMs / WINDOW_MS }.values.map(::worthOf)
    return PromptFigures(
        policy.name,
        byClass + (PromptFigures.TOTAL to worthOf(outcomes)),
        windows.min(),
        outcomes.count { it.isRefused },
        fleet.sumOf { it.readTokens },
        fleet.sumOf { it.preempted },
    )
}

private fun worthOf(outcomes: List<PromptOutcome>) =
    outcomes.sumOf { it.earned } / outcomes.sumOf { it.call.profile.worth }

private const val WINDOW_MS = 2_000L

/** A table of all policies on the calls of [seed]. */
fun PromptScenario.report(seed: Long): String =
    buildString {
        val figures = policies.map { run(it, seed) }
        val columns = figures.first().worth.keys + listOf("worst 2 s", "refused", "read Mtok", "preempted")
        appendLine("scenario $name, seed $seed: share of the worth by class")
        appendLine("%-16s".format("policy") + columns.joinToString("") { "%18s".format(it) })
        for (one in figures) {
            val shares = (one.worth.values + one.worstSecondsWorth).joinToString("") { "%18.3f".format(it) }
            val readMillions = one.readTokens / TOKENS_PER_MILLION
            appendLine("%-16s%s%18d%18.2f%18d".format(one.policy, shares, one.refused, readMillions, one.preempted))
        }
    }

private const val TOKENS_PER_MILLION = 1e6
