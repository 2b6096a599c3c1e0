/*
 * Fake of the platform's model engine: one batch, prompts that are read in chunks between the tokens of the running
 * requests, a prefix cache in the memory that the running requests leave, priorities and preemption. An event of a
 * stream holds several tokens.
 */
package io.teaselspring.experiment.prompts

import io.teaselspring.core.InstanceId
import io.teaselspring.core.placement.PromptPart
import io.teaselspring.experiment.EventLoop

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
)

/** A request as an engine gets it; lower [priority] goes first. [onEvent] is told whether it was the last one. */
class EngineRequest(
    val prompt: List<PromptPart>,
    val outputTokens: Int,
    val priority: Int,
    val onEvent: (isLast: Boolean) -> Unit,
)

/** One engine in virtual time. */
class PromptEngine(
    val id: InstanceId,
    private val loop: EventLoop,
    private val figures: EngineFigures,
) {
    private class Running(
        val request: EngineRequest,
        var remainingPrefill: Long,
        var produced: Int,
        var ownTokens: Long,
    ) {
        val context get() = request.prompt.sumOf { it.tokens } + produced
    }

    private val waiting = ArrayList<Running>()
    private val running = ArrayList<Running>()
    private val cache = LinkedHashMap<String, Long>(INITIAL_SIZE, LOAD_FACTOR, true)
    private var isStepping = false

    /** Prompt tokens read so far. */
    var readTokens = 0L
        private set
    var preempted = 0
        private set

    /** Requests that run or wait. */
    val load: Int get() = running.size + waiting.size

    /** False if the engine is full. */
    fun submit(request: EngineRequest): Boolean {
        if (waiting.size >= figures.queueLimit) return false
        waiting += Running(request, remainingPrefill = 0, produced = 0, ownTokens = request.prompt.last().tokens)
        if (!isStepping) step()
        return true
    }

    private fun step() {
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
        loop.after((durationMs * US_PER_MS).toLong()) {
            prefilled.forEach(::remember)
            (decoding + prefilled).forEach { if (it in running) produce(it) }
            step()
        }
    }

    private fun produce(one: Running) {
        one.produced += 1
        one.ownTokens += 1
        val isLast = one.produced >= one.request.outputTokens
        if (isLast) running -= one
        if (isLast || one.produced % figures.tokensPerEvent == 1) one.request.onEvent(isLast)
    }

    private fun admit() {
        waiting.sortBy { it.request.priority }
        while (running.size < figures.slots && waiting.isNotEmpty()) {
            val next = waiting.first()
            next.remainingPrefill = uncachedTokens(next)
            if (!makeRoom(next.remainingPrefill)) break
            waiting.removeFirst()
            running += next
        }
        // The running requests grow; the newest of the least urgent ones has to give way when nothing else can.
        while (!makeRoom(0) && running.size > 1) {
            val victim = running.withIndex().maxWith(compareBy({ it.value.request.priority }, { it.index })).value
            running -= victim
            waiting += victim
            preempted += 1
        }
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

    private fun remember(one: Running) =
        one.request.prompt
            .dropLast(1)
            .forEach { cache[it.id] = it.tokens }

    private fun makeRoom(tokens: Long): Boolean {
        val used = running.sumOf { it.ownTokens }
        val cached = cache.entries.iterator()
        var cachedTokens = cache.values.sum()
        while (used + cachedTokens + tokens > figures.memoryTokens && cached.hasNext()) {
            cachedTokens -= cached.next().value
            cached.remove()
        }
        return used + cachedTokens + tokens <= figures.memoryTokens
    }

    private companion object {
        const val INITIAL_SIZE = 64
        const val LOAD_FACTOR = 0.75f
        const val THOUSAND = 1_000.0
        const val MILLION = 1_000_000.0
        const val US_PER_MS = 1_000
    }
}
