/*
 * Scenarios with the platform's engines: a site, its load, and the run of one policy on the same requests.
 */
package io.teaselspring.experiment.prompts

import io.teaselspring.core.InstanceId
import io.teaselspring.experiment.EventLoop

/** The entry [entry] is stopped from [fromMs] to [toMs]; the next one gets its requests. It forgets the limits. */
data class EntryStop(
    val entry: Int,
    val fromMs: Long,
    val toMs: Long,
)

/**
 * How callers reach the entries: with a [skew] above 1 low entries get more requests than high ones. Callers send a
 * refused request once more if they [returnWhenRefused].
 */
data class Callers(
    val returnWhenRefused: Boolean = false,
    val skew: Double = 1.0,
    val stops: List<EntryStop> = emptyList(),
)

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
    val faults: EngineFaults = EngineFaults(),
    val callers: Callers = Callers(),
    val policies: List<PromptPolicy> = listOf(queuePolicy(), prefixHash, leastLoaded),
)

/** What became of a request. */
class PromptOutcome(
    val request: PromptRequest,
) {
    private var firstMs: Long? = null
    private var lastMs = 0L
    private var longestEventGapMs = 0L
    private val sentMs = ArrayList<Long>()

    /** When it was sent to engines, in order. */
    val sentAtMs: List<Long> get() = sentMs
    var isRefused = false
    var refusals = 0
    var isWhole = false
        private set

    fun sent(nowMs: Long) {
        sentMs += nowMs
    }

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
    val readTokensByEngine: List<Long>,
    val preempted: Int,
    val outcomes: List<PromptOutcome>,
    val crashing: CrashingRequests,
    val quarantinedRequests: Int,
    arrivals: EngineArrivals,
    val storeCalls: Int,
) {
    val limited: LimitedArrivals = arrivals.limited
    val statements: StatedArrivals = arrivals.stated
    val totalWorth: Double get() = worth.getValue(TOTAL)
    val readTokens: Long get() = readTokensByEngine.sum()

    companion object {
        const val TOTAL = "all"
    }
}

/** What reached engines that had stated a limit, or that they want no requests. */
class EngineArrivals(
    val limited: LimitedArrivals,
    val stated: StatedArrivals,
)

/** What became of the requests with a part that crashes engines, and the times of the crashes. */
class CrashingRequests(
    val outcomes: List<PromptOutcome>,
    val crashedAtMs: List<Long>,
)

/** Runs [policy] on the requests of [seed]. */
fun PromptScenario.run(
    policy: PromptPolicy,
    seed: Long,
): PromptFigures {
    val loop = EventLoop()
    val fleet =
        List(engines) {
            PromptEngine(
                InstanceId("engine-$it"),
                loop,
                figures,
                figures.workTimes.areStated,
            ) { figures.workTimes.pctAt(it, loop.nowMs) }
        }
    val outcomes = drawRequests(seed, durationMs, classes, bursts, figures.tokensPerEvent).map(::PromptOutcome)
    val crashing =
        faults.byPart
            ?.let { drawRequests(it.added, seed, durationMs, classes, figures.tokensPerEvent).map(::PromptOutcome) }
            .orEmpty()
    val crashedAtMs = ArrayList<Long>()
    val byRequest = (outcomes + crashing).associateBy { it.request.id }
    val routers = ArrayList<PromptRouter>()
    val limited = LimitedArrivals(loop)
    val statements = StatedArrivals(loop, faults.statements)
    val stopped = HashSet<Int>()

    /** The entry that the balancer sends the request to: the next one after a stopped one. */
    fun entryOf(
        request: PromptRequest,
        offset: Int = 0,
    ): Int {
        val first = entryFor(request.entry, entries, callers.skew) + offset
        return (first until first + entries).map { it % entries }.first { it !in stopped }
    }
    val entryLimits = EntryLimits(entries, fleet.map { it.id }, loop, seed)
    val quarantines = EntryQuarantines(if (policy.cooperate) entries else 0, loop)

    fun refuse(outcome: PromptOutcome) {
        outcome.isRefused = true
        outcome.refusals += 1
        if (!callers.returnWhenRefused || outcome.refusals > 1) return
        loop.after(RETURN_AFTER_MS * US_PER_MS) {
            outcome.isRefused = false
            val entry = entryOf(outcome.request, offset = 1)
            entryLimits.recordDemand(entry)
            routers[entry].submit(outcome.request)
        }
    }

    fun refuseQuarantined(
        entry: Int,
        outcome: PromptOutcome,
    ): Boolean = quarantines.refuses(entry, outcome.request).also { if (it) refuse(outcome) }
    repeat(entries) { number ->
        val views = fleet.map { EntryInstanceView(it, loop) }
        val results = AttemptResults({ routers[number].changed() }, ::refuse)
        val observe = { request: PromptRequest, engine: EntryInstanceView ->
            quarantines.observer(number, request, engine.id) +
                limited.observer(number, engine) +
                entryLimits.observer(number, engine)
        }
        val attempts = EntryAttempts(loop, number, entries, views, statements, observe, results)
        val send = { request: PromptRequest, engine: EntryInstanceView, uncached: Long ->
            val outcome = byRequest.getValue(request.id)
            if (!refuseQuarantined(number, outcome)) attempts.start(outcome, engine, uncached)
        }
        val actions = EntryActions(send) { refuse(byRequest.getValue(it.id)) }
        views.forEach {
            it.admission = policy.admission
            it.heedsWorkTime = policy.heedsWorkTime
            it.checkWorkTime(loop, figures)
        }
        if (policy.cooperate) views.forEach { it.limit = { entryLimits.limit(number, it.id) } }
        routers += policy.router(loop, views, entries, actions)
    }
    (outcomes + crashing).map { it.request }.forEach { request ->
        loop.at(request.arrivedMs) {
            val entry = entryOf(request)
            entryLimits.recordDemand(entry)
            if (!refuseQuarantined(entry, byRequest.getValue(request.id))) routers[entry].submit(request)
        }
    }
    faults.schedule(loop, fleet) { crashedAtMs += loop.nowMs }
    callers.schedule(loop, stopped) {
        limited.forget(it)
        entryLimits.restart(it)
    }
    loop.runUntil(durationMs + classes.maxOf { it.deadlineMs })
    return figuresOf(
        policy,
        outcomes,
        fleet,
        CrashingRequests(crashing, crashedAtMs),
        quarantines.refused,
        EngineArrivals(limited, statements),
        entryLimits.storeCalls,
    )
}

/** An entry asks engines for their work time, and again after a second, when a slow moment is over. */
private fun EntryInstanceView.checkWorkTime(
    loop: EventLoop,
    figures: EngineFigures,
) {
    if (!figures.workTimes.areStated) return
    listOf(0L, RECHECK_MS).forEach { atMs -> loop.at(atMs) { load.record(engine.reportedLoad, loop.nowMs) } }
}

private fun PromptScenario.figuresOf(
    policy: PromptPolicy,
    outcomes: List<PromptOutcome>,
    fleet: List<PromptEngine>,
    crashing: CrashingRequests,
    quarantinedRequests: Int,
    arrivals: EngineArrivals,
    storeCalls: Int,
): PromptFigures {
    fun worthOf(outcomes: List<PromptOutcome>): Double {
        val weights = outcomes.map { it.request.weight(figures.tokensPerEvent) }
        val owed = outcomes.zip(weights) { outcome, weight -> outcome.request.profile.worth * weight }.sum()
        return outcomes.zip(weights) { outcome, weight -> outcome.earned * weight }.sum() / owed
    }
    val byClass = outcomes.groupBy { it.request.profile.name }.mapValues { worthOf(it.value) }
    val windows = outcomes.groupBy { it.request.arrivedMs / WINDOW_MS }.values.map(::worthOf)
    return PromptFigures(
        policy.name,
        byClass + (PromptFigures.TOTAL to worthOf(outcomes)),
        windows.min(),
        outcomes.count { it.isRefused },
        fleet.map { it.readTokens },
        fleet.sumOf { it.preempted },
        outcomes,
        crashing,
        quarantinedRequests,
        arrivals,
        storeCalls,
    )
}

private const val RECHECK_MS = 1_000L
private const val WINDOW_MS = 2_000L
private const val RETURN_AFTER_MS = 450L
private const val US_PER_MS = 1_000L

/** A table of all policies on the requests of [seed]. */
fun PromptScenario.report(seed: Long): String =
    buildString {
        val figures = policies.map { run(it, seed) }
        val columns = figures.first().worth.keys + listOf("worst 2 s", "refused", "read Mtok", "preempted")
        appendLine("scenario $name, seed $seed: share of the worth by class")
        appendLine("%-20s".format("policy") + columns.joinToString("") { "%18s".format(it) })
        for (one in figures) {
            val shares = (one.worth.values + one.worstSecondsWorth).joinToString("") { "%18.3f".format(it) }
            val readMillions = one.readTokens / TOKENS_PER_MILLION
            appendLine("%-20s%s%18d%18.2f%18d".format(one.policy, shares, one.refused, readMillions, one.preempted))
        }
        if (faults.statements != null) append(statementLines(figures))
    }

private const val TOKENS_PER_MILLION = 1e6
