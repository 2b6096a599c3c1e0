/*
 * Attempts of the entries of an emulation on its engines.
 */
package io.teaselspring.experiment.prompts

import io.teaselspring.experiment.EventLoop

/** Returns false if the engine did not accept the request. */
internal fun offer(
    loop: EventLoop,
    outcome: PromptOutcome,
    engine: EntryInstanceView,
    uncachedTokens: Long,
    observer: AttemptObserver,
    prefillDone: () -> Unit,
): Boolean {
    val request = outcome.request
    if (engine.engine.isUp) outcome.sent(loop.nowMs)
    val unsharedTokens = request.prompt.last().tokens
    engine.requestStarted(unsharedTokens, uncachedTokens)
    var isPrefilling = true

    fun endPrefill() {
        if (!isPrefilling) return
        isPrefilling = false
        engine.prefillEnded(uncachedTokens)
    }

    fun end() {
        endPrefill()
        engine.requestEnded(unsharedTokens)
        prefillDone()
    }
    val engineRequest =
        EngineRequest(
            request.prompt,
            request.outputTokens,
            request.profile.priority,
            request.arrivedMs + request.profile.deadlineMs,
            crashesEngine = request.id < 0,
            onLost = {
                if (!engine.engine.isUp) observer.crashed(!isPrefilling)
                end()
            },
        ) { isLast ->
            outcome.event(loop.nowMs, isLast)
            if (isPrefilling) {
                observer.responded()
                endPrefill()
                prefillDone()
            }
            if (isLast) end()
        }
    val isAccepted = engine.engine.submit(engineRequest)
    if (!isAccepted) end()
    return isAccepted
}
