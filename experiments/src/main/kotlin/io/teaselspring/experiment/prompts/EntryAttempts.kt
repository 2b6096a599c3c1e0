/*
 * Attempts of one entry of an emulation on its engines. A request that an engine in a pause refuses goes to another one
 * at once, within the retry budget, as at a real entry.
 */
package io.teaselspring.experiment.prompts

import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.placement.PlacementCandidate
import io.teaselspring.core.placement.PlacementRequest
import io.teaselspring.core.placement.chooseInstance
import io.teaselspring.core.retry.RetryBudget
import io.teaselspring.experiment.EventLoop
import kotlin.random.Random

/** What attempts tell their entry: an engine has room again, or nobody runs the request. */
class AttemptResults(
    val changed: () -> Unit,
    val refuse: (PromptOutcome) -> Unit,
)

/** The attempts of the entry [entry] of [entries], which knows [engines]. */
class EntryAttempts(
    private val loop: EventLoop,
    private val entry: Int,
    entries: Int,
    private val engines: List<EntryInstanceView>,
    private val arrivals: StatedArrivals,
    private val observe: (PromptRequest, EntryInstanceView) -> AttemptObserver,
    private val results: AttemptResults,
) {
    private val budget = RetryBudget(minimum = { RETRY_MINIMUM / entries })
    private val random = Random(entry)

    /** Sends the request to [engine]; those in [tried] have refused it. */
    fun start(
        outcome: PromptOutcome,
        engine: EntryInstanceView,
        uncachedTokens: Long,
        tried: Set<InstanceId> = emptySet(),
    ) {
        val request = outcome.request
        arrivals.arrived(entry, engine.engine)
        if (engine.engine.isUp) outcome.sent(loop.nowMs)
        val unsharedTokens = request.prompt.last().tokens
        engine.requestStarted(unsharedTokens, uncachedTokens)
        val observer = observe(request, engine)
        var isPrefilling = true

        fun endPrefill() {
            if (!isPrefilling) return
            isPrefilling = false
            engine.prefillEnded(uncachedTokens)
        }

        fun end() {
            endPrefill()
            engine.requestEnded(unsharedTokens)
            results.changed()
        }
        val engineRequest =
            EngineRequest(
                request.prompt,
                request.outputTokens,
                request.profile.priority,
                request.arrivedMs + request.profile.deadlineMs,
                crashesEngine = request.id < 0,
                onLost = {
                    if (!engine.engine.isUp) {
                        arrivals.cut()
                        observer.crashed(!isPrefilling)
                    }
                    end()
                },
            ) { isLast ->
                outcome.event(loop.nowMs, isLast)
                if (isPrefilling) {
                    answered(engine)
                    observer.responded()
                    endPrefill()
                    results.changed()
                }
                if (isLast) {
                    budget.succeeded(null, loop.nowMs)
                    end()
                }
            }
        if (engine.engine.submit(engineRequest)) return
        if (engine.engine.statedPause == null) {
            end()
            results.refuse(outcome)
            return
        }
        refusedForPause(engine) {
            end()
            retry(outcome, tried + engine.id)
        }
    }

    private fun answered(engine: EntryInstanceView) {
        arrivals.answered(entry, engine.engine, isRefusal = false)
        if (engine.engine.isLeaving) recordLeaving(engine)
    }

    /** The statement is one of this process, also if it arrives after the start of the next one. */
    private fun recordLeaving(engine: EntryInstanceView) {
        val stated = engine.stated
        loop.after(ANSWER_US) { stated.recordLeaving() }
    }

    private fun refusedForPause(
        engine: EntryInstanceView,
        next: () -> Unit,
    ) {
        arrivals.answered(entry, engine.engine, isRefusal = true)
        if (engine.engine.isLeaving) recordLeaving(engine)
        val stated = engine.stated
        val pause = checkNotNull(engine.engine.statedPause)
        loop.after(ANSWER_US) {
            stated.recordPause(pause, loop.nowMs)
            next()
        }
    }

    private fun retry(
        outcome: PromptOutcome,
        tried: Set<InstanceId>,
    ) {
        val mayRetry = tried.size < MOST_ATTEMPTS && budget.spend(null, loop.nowMs)
        val next = if (mayRetry) choose(outcome.request, tried) else null
        if (next == null) {
            results.refuse(outcome)
        } else {
            start(outcome, next, next.recordPrompt(outcome.request.prompt), tried)
        }
    }

    private fun choose(
        request: PromptRequest,
        tried: Set<InstanceId>,
    ): EntryInstanceView? {
        val sharedPart = request.prompt[request.prompt.size - 2].id
        val placement = PlacementRequest(sharedPart, request.group, HOME)
        val candidates = engines.filter { it.admitsRequest }.map { it.candidate() }
        val chosen = chooseInstance(candidates, placement, tried, random::nextInt) ?: return null
        return engines.single { it.id == chosen.id }
    }

    private fun EntryInstanceView.candidate() =
        PlacementCandidate(id, HOME, slots, load.requestsAt(loop.nowMs), pendingPrefillTokens, isEjected, hasPermit)

    private companion object {
        val HOME = DataCentre("one")
        const val MOST_ATTEMPTS = 2
        const val RETRY_MINIMUM = 25

        /** Until the answer of an engine is at the entry. */
        const val ANSWER_US = 5_000L
    }
}
