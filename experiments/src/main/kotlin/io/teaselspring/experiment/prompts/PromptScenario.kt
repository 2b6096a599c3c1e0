/*
 * Scenarios with the platform's engines: a site, its load, and the run of one policy on the same requests.
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

/** What became of a request. */
class PromptOutcome(
    val request: PromptRequest,
) {
    private var firstMs: Long? = null
    private var lastMs = 0L
    private var longestEventGapMs = 0L
    var isRefused = false
    var isWhole = false
        private set

    fun event(
        nowMs: Long,
        isLast: Boolean,
    ) {
        if (firstMs == null) firstMs = nowMs else longestEventGapMs = maxOf(longestEventGapMs, nowMs - lastMs)
        lastMs = nowMs
        isWhole = isLast && nowMs - request.arrivedMs <= request.profile.deadlineMs
    }

    val isInTarget: Boolean
        get() {
            val waitMs = (firstMs ?: return false) - request.arrivedMs
            return isWhole && waitMs <= request.profile.targetMs && longestEventGapMs <= request.profile.eventGapMs
        }

    val earned: Double get() =
        if (isInTarget) {
            request.profile.worth
        } else if (isWhole) {
            request.profile.lateWorth
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

/** Runs [policy] on the requests of [seed]. */
fun PromptScenario.run(
    policy: PromptPolicy,
    seed: Long,
): PromptFigures {
    val loop = EventLoop()
    val fleet = List(engines) { PromptEngine(InstanceId("engine-$it"), loop, figures) }
    val outcomes = drawRequests(seed, durationMs, classes, bursts).map(::PromptOutcome)
    val byRequest = outcomes.associateBy { it.request.id }
    val routers = ArrayList<PromptRouter>()
    repeat(entries) { number ->
        val send = { request: PromptRequest, engine: EntryInstanceView, uncached: Long ->
            offer(loop, byRequest.getValue(request.id), engine, uncached) { routers[number].changed() }
        }
        val actions = EntryActions(send) { byRequest.getValue(it.id).isRefused = true }
        routers += policy.router(loop, fleet.map(::EntryInstanceView), entries, actions)
    }
    outcomes.map { it.request }.forEach { request ->
        loop.at(request.arrivedMs) { routers[request.entry % entries].submit(request) }
    }
    loop.runUntil(durationMs + classes.maxOf { it.deadlineMs })
    return figuresOf(policy, outcomes, fleet)
}

private fun offer(
    loop: EventLoop,
    outcome: PromptOutcome,
    engine: EntryInstanceView,
    uncachedTokens: Long,
    prefillDone: () -> Unit,
) {
    engine.pendingPrefillTokens += uncachedTokens
    var hasBegun = false
    val request = outcome.request
    val engineRequest =
        EngineRequest(request.prompt, request.outputTokens, request.profile.priority) { isLast ->
            outcome.event(loop.nowMs, isLast)
            engine.load = engine.engine.load.toDouble()
            if (!hasBegun) {
                hasBegun = true
                engine.pendingPrefillTokens -= uncachedTokens
                prefillDone()
            }
        }
    if (!engine.engine.submit(engineRequest)) {
        engine.pendingPrefillTokens -= uncachedTokens
        outcome.isRefused = true
    }
}

private fun figuresOf(
    policy: PromptPolicy,
    outcomes: List<PromptOutcome>,
    fleet: List<PromptEngine>,
): PromptFigures {
    val byClass = outcomes.groupBy { it.request.profile.name }.mapValues { worthOf(it.value) }
    val windows = outcomes.groupBy { it.request.arrivedMs / WINDOW_MS }.values.map(::worthOf)
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
    outcomes.sumOf { it.earned } / outcomes.sumOf { it.request.profile.worth }

private const val WINDOW_MS = 2_000L

/** A table of all policies on the requests of [seed]. */
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
