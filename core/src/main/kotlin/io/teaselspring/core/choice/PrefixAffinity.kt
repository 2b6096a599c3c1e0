/*
 * Prefix affinity: prompts with the same start go to the same agent, whose engine has the start in its prefix cache.
 * Rendezvous hashing keeps most prompts in place when agents come and go; a load bound keeps a popular prefix from
 * overloading one agent.
 */
package io.teaselspring.core.choice

import kotlin.math.ceil

/** The highest ranked agent for [prefixHash] that stays below the load bound, or null when the first ranks are full. */
internal fun affineAgent(
    candidates: List<AgentView>,
    prefixHash: Long,
): AgentView? {
    val total = candidates.sumOf { it.work(0) } + 1
    val capacity = candidates.sumOf { maxOf(1, it.limit) }.toDouble()
    return candidates
        .sortedByDescending { rendezvous(prefixHash, it.instance.value) }
        .take(RANKS)
        .firstOrNull { it.work(1) <= ceil(LOAD_BOUND * total * maxOf(1, it.limit) / capacity) }
}

/** Weight of [name] for [key]; the highest weight wins. */
internal fun rendezvous(
    key: Long,
    name: String,
): Long {
    var hash = key xor FNV_OFFSET
    for (char in name) hash = (hash xor char.code.toLong()) * FNV_PRIME
    // The mixing steps of SplitMix64: FNV alone leaves the high bits of short names nearly equal.
    hash = (hash xor (hash ushr 30)) * -0x40a7b892e31b1a47L
    hash = (hash xor (hash ushr 27)) * -0x6b2fb644ecceee15L
    return hash xor (hash ushr 31)
}

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L

/** No agent may be above this multiple of the mean load because of affinity. */
private const val LOAD_BOUND = 1.25

/** Agents tried by rank before the choice falls back to load alone. */
private const val RANKS = 2
