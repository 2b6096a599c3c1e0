/*
 * Time of a decision of the queue for requests with prompts, as the engines of an upstream grow.
 */
package io.teaselspring.experiment.prompts

import io.teaselspring.core.InstanceId
import io.teaselspring.core.placement.InstanceView
import io.teaselspring.core.placement.KnownLoad
import io.teaselspring.core.placement.LatencyGroup
import io.teaselspring.core.placement.PromptPart
import io.teaselspring.core.placement.QueuedRequest
import io.teaselspring.core.placement.ReportedLoad
import io.teaselspring.core.placement.RequestQueue
import kotlin.random.Random

private const val ENTRIES = 330
private const val SUBJECTS = 2_000
private const val WARM_UP = 3_000
private const val DECISIONS = 2_000
private const val NANOS_PER_US = 1_000.0
private const val TARGET_MS = 1_000L
private const val MS_BETWEEN_REQUESTS = 200L

private class IdleEngine(
    override val id: InstanceId,
) : InstanceView {
    override val isEjected = false
    override val load = KnownLoad().apply { record(ReportedLoad(running = 10, waiting = 0, SLOTS), nowMs = 0) }
    override val slots = SLOTS
    override val memoryTokens = 800_000L
    override val pendingPrefillTokens = 0L

    override fun uncachedTokens(
        parts: List<PromptPart>,
        isPreferred: Boolean,
    ) = parts.last().tokens

    private companion object {
        const val SLOTS = 32
    }
}

/** Microseconds for one request that [engines] engines of three latency groups have room for, the mean of many. */
fun promptDispatchUs(
    engines: Int,
    seed: Long,
): Double {
    val random = Random(seed)
    val views = List(engines) { IdleEngine(InstanceId("engine-$it")) }
    val queue = RequestQueue { ENTRIES }
    var nowMs = 0L

    fun decide(number: Int) {
        nowMs += MS_BETWEEN_REQUESTS
        val parts = listOf(PromptPart("subject-${random.nextInt(SUBJECTS)}", 5_000), PromptPart("own-$number", 2_000))
        val group = LatencyGroup(random.nextInt(3), 3)
        queue.add(
            QueuedRequest(number.toLong(), parts, group, group.index, nowMs, nowMs + TARGET_MS, nowMs + 2 * TARGET_MS),
        )
        queue.dispatch(nowMs, views, group.count) {}
    }
    repeat(WARM_UP, ::decide)
    val startedNanos = System.nanoTime()
    repeat(DECISIONS, ::decide)
    return (System.nanoTime() - startedNanos) / NANOS_PER_US / DECISIONS
}
