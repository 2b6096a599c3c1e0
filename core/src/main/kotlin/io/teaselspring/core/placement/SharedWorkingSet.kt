/*
 * Estimate of the prompt parts that requests share and that the instances of one latency group should keep cached.
 * Requests that run on an instance take the rest of its memory; if they take more, shared parts are evicted and
 * prefilled again, which slows the instance until it never catches up.
 */
package io.teaselspring.core.placement

/** The parts of the requests of one latency group within the last [windowMs], as one entry of several sees them. */
internal class SharedWorkingSet(
    private val windowMs: Long = 30_000,
) {
    private class Sample(
        val atMs: Long,
        val part: String,
    )

    private class Part(
        val tokens: Long,
        var count: Int,
    )

    private val samples = ArrayDeque<Sample>()
    private val parts = HashMap<String, Part>()
    private var seenOnce = 0
    private var seenTokens = 0L

    /** Records the [part] that decides on the instance of a request that arrives at [nowMs]. */
    fun record(
        part: PromptPart,
        nowMs: Long,
    ) {
        while (samples.isNotEmpty() && (samples.size >= MAX_SAMPLES || nowMs - samples.first().atMs > windowMs)) {
            forget(samples.removeFirst().part)
        }
        samples.addLast(Sample(nowMs, part.id))
        val known = parts.getOrPut(part.id) { Part(part.tokens, 0) }
        known.count += 1
        when (known.count) {
            1 -> {
                seenOnce += 1
                seenTokens += known.tokens
            }
            2 -> seenOnce -= 1
        }
    }

    private fun forget(id: String) {
        val part = parts.getValue(id)
        part.count -= 1
        when (part.count) {
            0 -> {
                seenOnce -= 1
                seenTokens -= part.tokens
                parts.remove(id)
            }
            1 -> seenOnce += 1
        }
    }

    /**
     * Estimates the tokens of all parts in use, also of those that only other entries have seen; null before
     * [MIN_SAMPLES]. The share of the requests whose part came only once is the Good-Turing estimate of how much is
     * still unseen.
     */
    fun tokens(): Double? {
        if (samples.size < MIN_SAMPLES) return null
        val coverage = 1 - seenOnce / (samples.size + 1.0)
        return seenTokens / coverage
    }

    private companion object {
        const val MIN_SAMPLES = 20
        const val MAX_SAMPLES = 4_000
    }
}
