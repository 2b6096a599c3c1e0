/*
 * Fake of the platform's model engine: one batch, prompts that are read in chunks between the tokens of the running
 * requests, a prefix cache in the memory that the running requests leave, priorities and preemption: a more urgent
 * request takes the slot of a less urgent one, which is read in again later. A running request keeps its shared parts
 * from being evicted. An event of a stream holds several tokens. Requests end at their deadline.
 */
package io.teaselspring.experiment.prompts

import io.teaselspring.core.InstanceId
import io.teaselspring.core.placement.PromptPart
import io.teaselspring.core.placement.ReportedLoad
import io.teaselspring.experiment.EventLoop
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Figures of an engine. Times are milliseconds. */
data class EngineFigures(
    val memoryTokens: Long,
    val slots: Int = 64,
    val queueLimit: Int = 134,
    val stepMs: Double = 3.37,
    val stepMsPerRequest: Double = 0.0109,
    val stepMsPerThousandTokens: Double = 0.0034,
    val promptTokensPerMs: Double = 61.2,
    val msPerMillionPairs: Double = 0.324,
    val chunkTokens: Int = 2_048,
    val tokensPerEvent: Int = 5,
    val workTimes: WorkTimes = WorkTimes(),
)

/**
 * A request as an engine gets it; lower [priority] goes first. [onEvent] is told whether it was the last one. [onLost]
 * is called instead of further events if the engine crashes or [deadlineMs] passes. A request that [crashesEngine] does
 * so in place of its first event.
 */
class EngineRequest(
    val prompt: List<PromptPart>,
    val outputTokens: Int,
    val priority: Int,
    val deadlineMs: Long = Long.MAX_VALUE,
    val crashesEngine: Boolean = false,
    val onLost: () -> Unit = {},
    val onEvent: (isLast: Boolean) -> Unit,
)

/** One engine in virtual time. */
class PromptEngine(
    val id: InstanceId,
    private val loop: EventLoop,
    private val figures: EngineFigures,
    private val statesWorkTime: Boolean = false,
    private val workTimePct: () -> Int = { USUAL_PCT },
) {
    private class Running(
        val request: EngineRequest,
        var remainingPrefill: Long,
        var produced: Int,
        var ownTokens: Long,
        /** Tokens of shared parts that it has to prefill and that are not in the cache yet. */
        var uncachedSharedTokens: Long = 0,
    ) {
        val context get() = request.prompt.sumOf { it.tokens } + produced
    }

    private val waiting = ArrayList<Running>()
    private val running = ArrayList<Running>()
    private val cache = LinkedHashMap<String, Long>(INITIAL_SIZE, LOAD_FACTOR, true)
    private var isStepping = false

    /** Number of crashes; steps that began before a crash have no effect. */
    var crashes = 0
        private set

    /** Requests a second that it takes from all entries together, as it states in its responses; null without limit. */
    var statedLimit: Double? = null

    /** Whether it says in its responses that it is about to exit; it serves requests until then. */
    var isLeaving = false

    /** Whether its row in the registry says that it drains, as far as entries have read it. */
    var isDraining = false

    /** Until when it refuses all requests. */
    var pausedUntilMs = 0L

    /** The pause that it asks for in a refusal. */
    val statedPause: Duration? get() = (pausedUntilMs - loop.nowMs).takeIf { it > 0 }?.milliseconds

    /** Called when a request has crashed the engine. */
    var onCrashedByRequest: () -> Unit = {}

    /** False after a crash until [restart]. */
    var isUp = true
        private set

    /** Prompt tokens read so far. */
    var readTokens = 0L
        private set
    var preempted = 0
        private set

    /** Requests that run or wait. */
    val load: Int get() = running.size + waiting.size

    /** The load that it states in the head of a response. */
    val reportedLoad: ReportedLoad get() =
        ReportedLoad(running.size, waiting.size, figures.slots, workTimePct().takeIf { statesWorkTime })

    val slots: Int get() = figures.slots

    val memoryTokens: Long get() = figures.memoryTokens

    /** Loses all requests and the prefix cache. */
    fun crash() {
        val lost = running + waiting
        running.clear()
        waiting.clear()
        cache.clear()
        crashes += 1
        isUp = false
        isLeaving = false
        isDraining = false
        pausedUntilMs = 0
        isStepping = false
        lost.forEach { it.request.onLost() }
    }

    fun restart() {
        isUp = true
    }

    /** False if the engine is full, down or in a pause. */
    fun submit(request: EngineRequest): Boolean {
        if (!isUp || statedPause != null || waiting.size >= figures.queueLimit) return false
        waiting += Running(request, remainingPrefill = 0, produced = 0, ownTokens = request.prompt.last().tokens)
        if (!isStepping) step()
        return true
    }

    private fun dropExpired() {
        val expired = (running + waiting).filter { it.request.deadlineMs <= loop.nowMs }
        running -= expired.toSet()
        waiting -= expired.toSet()
        expired.forEach { it.request.onLost() }
    }

    private fun step() {
        dropExpired()
        admit()
        isStepping = running.isNotEmpty()
        if (!isStepping) return
        val decoding = running.filter { it.remainingPrefill == 0L }
        var durationMs = figures.stepMs + figures.stepMsPerRequest * running.size
        durationMs += figures.stepMsPerThousandTokens * decoding.sumOf { it.context } / THOUSAND
        var chunk = figures.chunkTokens.toLong()
        val prefilled =
            running.filter { it.remainingPrefill > 0 }.sortedBy { it.request.priority }.filter { one ->
                val tokens = minOf(chunk, one.remainingPrefill)
                chunk -= tokens
                one.remainingPrefill -= tokens
                readTokens += tokens
                durationMs += tokens / figures.promptTokensPerMs
                val context = one.context - one.remainingPrefill - tokens / 2
                durationMs += tokens * context / MILLION * figures.msPerMillionPairs
                tokens > 0 && one.remainingPrefill == 0L
            }
        val stepOfRun = crashes
        durationMs *= workTimePct() / USUAL_PCT.toDouble()
        loop.after((durationMs * US_PER_MS).toLong()) {
            if (stepOfRun != crashes) return@after
            prefilled.forEach(::remember)
            (decoding + prefilled).forEach { if (it in running) produce(it) }
            step()
        }
    }

    private fun produce(one: Running) {
        if (one.request.crashesEngine) {
            crash()
            onCrashedByRequest()
            return
        }
        one.produced += 1
        one.ownTokens += 1
        val isLast = one.produced >= one.request.outputTokens
        if (isLast) running -= one
        if (isLast || one.produced % figures.tokensPerEvent == 1) one.request.onEvent(isLast)
    }

    private fun admit() {
        waiting.sortBy { it.request.priority }
        while (waiting.isNotEmpty() && hasSlotFor(waiting.first())) {
            val next = waiting.first()
            next.remainingPrefill = uncachedTokens(next)
            next.uncachedSharedTokens = next.remainingPrefill - next.ownTokens
            running += next
            if (!makeRoom()) {
                running -= next
                break
            }
            waiting.removeFirst()
        }
        // The running requests grow; the newest of the least urgent ones has to give way when nothing else can.
        while (!makeRoom() && running.size > 1) preempt(newestOfLeastUrgent())
    }

    /** Whether a slot is free for [next], or becomes free because a less urgent request is preempted. */
    private fun hasSlotFor(next: Running): Boolean {
        if (running.size < figures.slots) return true
        val victim = newestOfLeastUrgent()
        if (victim.request.priority <= next.request.priority) return false
        preempt(victim)
        return true
    }

    private fun newestOfLeastUrgent() =
        running.withIndex().maxWith(compareBy({ it.value.request.priority }, { it.index })).value

    private fun preempt(victim: Running) {
        running -= victim
        waiting += victim
        preempted += 1
    }

    /** Tokens to read: a cached part counts only if all parts before it are cached. */
    private fun uncachedTokens(one: Running): Long {
        val cached =
            one.request.prompt
                .dropLast(1)
                .takeWhile { cache[it.id] != null }
                .sumOf { it.tokens }
        return one.context - cached
    }

    private fun remember(one: Running) {
        one.uncachedSharedTokens = 0
        one.request.prompt
            .dropLast(1)
            .forEach { cache[it.id] = it.tokens }
    }

    /** Evicts the least recently used parts that no running request uses, until the running requests have room. */
    private fun makeRoom(): Boolean {
        val usedTokens = running.sumOf { it.ownTokens + it.uncachedSharedTokens }
        var cachedTokens = cache.values.sum()
        if (usedTokens + cachedTokens <= figures.memoryTokens) return true
        val pinned = HashSet<String>()
        running.forEach { one ->
            one.request.prompt
                .dropLast(1)
                .mapTo(pinned) { it.id }
        }
        val cached = cache.entries.iterator()
        while (usedTokens + cachedTokens > figures.memoryTokens && cached.hasNext()) {
            val part = cached.next()
            if (part.key in pinned) continue
            cachedTokens -= part.value
            cached.remove()
        }
        return usedTokens + cachedTokens <= figures.memoryTokens
    }

    private companion object {
        const val INITIAL_SIZE = 64
        const val LOAD_FACTOR = 0.75f
        const val THOUSAND = 1_000.0
        const val MILLION = 1_000_000.0
        const val US_PER_MS = 1_000
        const val USUAL_PCT = 100
    }
}
