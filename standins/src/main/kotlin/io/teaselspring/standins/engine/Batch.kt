/*
 * Continuous batching: in each step every running request gets one token, and requests join and leave between steps.
 * The step time grows with the number of running requests and with the prompts read in the step.
 */
package io.teaselspring.standins.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

internal data class EngineSettings(
    val models: Set<String>,
    val baseTokenMs: Double = 10.0,
    val tokenMsPerRunning: Double = 0.5,
    val prefillTokensPerMs: Double = 10.0,
    val maxBatch: Int = 16,
    val cacheBlocks: Int = 4_096,
    val reportLagMs: Long = 500,
)

/** One request in the engine, which produces the tokens from [firstToken] on; [onToken] gets each index. */
internal class BatchJob(
    val completion: Completion,
    val priority: Int,
    val firstToken: Int,
    val onToken: (index: Int) -> Unit,
) {
    var nextToken = firstToken
    var cachedTokens = 0
}

@Serializable
internal data class Load(
    val running: Int,
    val queued: Int,
    @SerialName("kv_used_pct") val kvUsedPct: Double,
    @SerialName("tokens_per_second") val tokensPerSecond: Double,
)

/** Not safe for concurrent use; [BatchRunner] guards it. */
internal class Batch(
    private val settings: EngineSettings,
) {
    private val running = mutableListOf<BatchJob>()
    private val queued = mutableListOf<BatchJob>()
    private val cache = PrefixCache(settings.cacheBlocks)
    var tokens = 0L
        private set

    /** Queues [job] behind those of the same or a lower `priority` value. */
    fun submit(job: BatchJob) {
        val index = queued.indexOfFirst { it.priority > job.priority }
        queued.add(if (index < 0) queued.size else index, job)
    }

    fun cancel(job: BatchJob) {
        queued.remove(job)
        running.remove(job)
    }

    /** Admits queued requests and returns the time of the step in milliseconds, or null if there is nothing to do. */
    fun beginStep(): Double? {
        var prefill = 0
        while (running.size < settings.maxBatch && queued.isNotEmpty()) {
            val job = queued.removeFirst()
            val completion = job.completion
            job.cachedTokens = cache.use(completion.promptBlocks) * BLOCK_TOKENS
            prefill += completion.promptTokens + job.firstToken - job.cachedTokens
            running += job
        }
        if (running.isEmpty()) return null
        return settings.baseTokenMs + settings.tokenMsPerRunning * running.size + prefill / settings.prefillTokensPerMs
    }

    /** Gives each running request its token; those that are complete leave. */
    fun endStep() {
        running.forEach { it.onToken(it.nextToken++) }
        tokens += running.size
        running.removeAll { it.nextToken >= it.completion.length }
    }

    fun load(): Load {
        val used = running.sumOf { it.completion.blocks(it.nextToken) }
        return Load(running.size, queued.size, (100.0 * used / settings.cacheBlocks).coerceAtMost(100.0), 0.0)
    }
}
