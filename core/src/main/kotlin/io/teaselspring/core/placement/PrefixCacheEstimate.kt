/*
 * Estimate of the content of an instance's prefix cache, which instances don't report. An entry derives it from the
 * prompts that it has sent there, and from the fact that other entries send a shared part to the same preferred
 * instance.
 */
package io.teaselspring.core.placement

/** LRU set of at most [maxParts] shared parts that one entry has sent to one instance. */
public class PrefixCacheEstimate(
    private val maxParts: Int = 512,
) {
    private val parts =
        object : LinkedHashMap<String, Boolean>(INITIAL_SIZE, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Boolean>) = size > maxParts
        }

    /**
     * Estimates the tokens of [prompt] that are not in the cache. A shared part that this entry has not sent there
     * counts with all of its tokens, or with [UNCACHED_FRACTION_AT_PREFERRED] of them if the instance [isPreferred].
     * The last part is the request's own and always counts in full.
     */
    public fun uncachedTokens(
        prompt: List<PromptPart>,
        isPreferred: Boolean,
    ): Long {
        var unsentSharedTokens = 0L
        for (index in 0 until prompt.lastIndex) {
            if (prompt[index].id !in parts) unsentSharedTokens += prompt[index].tokens
        }
        val uncachedFraction = if (isPreferred) UNCACHED_FRACTION_AT_PREFERRED else 1.0
        return (unsentSharedTokens * uncachedFraction).toLong() + (prompt.lastOrNull()?.tokens ?: 0)
    }

    /** Records that [prompt] was sent to the instance. */
    public fun recordPrompt(prompt: List<PromptPart>) {
        prompt.dropLast(1).forEach { parts[it.id] = true }
    }

    private companion object {
        /**
         * Expected fraction of the tokens of a shared part that its preferred instance has to prefill, if this entry
         * has not sent the part there but other entries may have.
         */
        const val UNCACHED_FRACTION_AT_PREFERRED = 0.3
        const val INITIAL_SIZE = 64
        const val LOAD_FACTOR = 0.75f
    }
}
