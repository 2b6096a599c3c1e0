/*
 * What an entry believes an engine has in its prompt cache. Engines do not tell; an entry knows what it sent there
 * itself, and that other entries send a shared part to the same home.
 */
package io.teaselspring.core.placement

/** The shared parts that one entry sent to one engine lately, the least recently used dropped first. */
public class EngineMemory(
    private val mostParts: Int = 512,
) {
    private val parts =
        object : LinkedHashMap<String, Boolean>(INITIAL_SIZE, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Boolean>) = size > mostParts
        }

    /**
     * Tokens of [prompt] that are probably not in the cache. A shared part that this entry has not sent there counts in
     * full, or with [UNKNOWN_AT_HOME] of its tokens where the engine [isHome]; the last part is always the call's own.
     */
    public fun unreadTokens(
        prompt: List<PromptPart>,
        isHome: Boolean,
    ): Long {
        val unknown = prompt.dropLast(1).filter { it.id !in parts }.sumOf { it.tokens }
        return (unknown * if (isHome) UNKNOWN_AT_HOME else 1.0).toLong() + (prompt.lastOrNull()?.tokens ?: 0)
    }

    /** The engine reads [prompt]. */
    public fun noteRead(prompt: List<PromptPart>) {
        prompt.dropLast(1).forEach { parts[it.id] = true }
    }

    private companion object {
        /** Share of a shared part that its home has to read, if only other entries can have sent it there. */
        const val UNKNOWN_AT_HOME = 0.3
        const val INITIAL_SIZE = 64
        const val LOAD_FACTOR = 0.75f
    }
}
