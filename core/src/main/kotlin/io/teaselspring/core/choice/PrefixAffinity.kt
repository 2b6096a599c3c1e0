/*
 * Prefix-cache affinity: prompts with the same prefix go to the same agent, whose engine holds the prefix in its prefix
 * cache. The agent is selected by rendezvous hashing with bounded loads: most prefixes keep their agent when agents are
 * added or removed, and a popular prefix doesn't overload one agent.
 */
package io.teaselspring.core.choice

import kotlin.math.ceil

/**
 * Returns the agent with the highest rendezvous weight for [prefixHash] that stays within the load bound with one more
 * request, or null if none of the first [MAX_RANKS] agents does.
 */
internal fun prefixAffinityAgent(
    candidates: List<AgentView>,
    prefixHash: Long,
): AgentView? {
    val totalLoad = candidates.sumOf { it.loadWith(0) } + 1
    val totalLimit = candidates.sumOf { maxOf(1, it.limit) }.toDouble()
    return candidates
        .sortedByDescending { rendezvousWeight(prefixHash, it.instance.value) }
        .take(MAX_RANKS)
        .firstOrNull { it.loadWith(1) <= ceil(LOAD_BOUND * totalLoad * maxOf(1, it.limit) / totalLimit) }
}

/** Rendezvous (highest random weight) hash of [name] for [key]; the name with the highest weight is selected. */
internal fun rendezvousWeight(
    key: Long,
    name: String,
): Long {
    var hash = key xor FNV_OFFSET
    for (char in name) hash = (hash xor char.code.toLong()) * FNV_PRIME
    // The finalizer of SplitMix64: FNV-1a alone leaves the high bits of short names nearly equal.
    hash = (hash xor (hash ushr 30)) * -0x40a7b892e31b1a47L
    hash = (hash xor (hash ushr 27)) * -0x6b2fb644ecceee15L
    return hash xor (hash ushr 31)
}

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L

/** Affinity doesn't raise an agent's load above this multiple of the mean load, in proportion to its limit. */
private const val LOAD_BOUND = 1.25

/** Agents considered in order of weight before the choice falls back to load alone. */
private const val MAX_RANKS = 2
