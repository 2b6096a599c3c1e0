/*
 * Stragglers: agents whose first token or whose intervals between tokens take much longer than the median of their
 * peers. Load reports do not show them, because a slow engine looks as busy as a fast one.
 */
package io.teaselspring.core.choice

import io.teaselspring.core.InstanceId

/** Median speeds of agents that serve the same model. */
internal class PeerSpeeds(
    peers: Collection<AgentView>,
) {
    private val firstTokenMs = peers.mapNotNull { it.firstTokenAverageMs }.medianOrNull()
    private val betweenTokensMs = peers.mapNotNull { it.betweenTokensAverageMs }.medianOrNull()

    /** How many times slower than the median [agent] is; 1 when it is not clearly slower or too little is known. */
    fun slowness(agent: AgentView): Double {
        val ratio =
            maxOf(ratio(agent.firstTokenAverageMs, firstTokenMs), ratio(agent.betweenTokensAverageMs, betweenTokensMs))
        return if (ratio >= SLOWNESS_NOTICED) ratio else 1.0
    }

    private fun ratio(
        value: Double?,
        median: Double?,
    ) = if (value == null || median == null) 1.0 else value / maxOf(1.0, median)
}

private fun List<Double>.medianOrNull() = if (size < MIN_PEERS) null else sorted()[(size - 1) / 2]

/**
 * Keeps the averages of the agents of one model and decides which to eject. An agent that is slower than [threshold]
 * times the median is ejected for [ejectionMs]; after that it gets a single probe, and is ejected for twice as long
 * when the probe is slow too. Copy the values of [apply] into the views before choosing. Not thread-safe.
 */
public class StragglerDetector(
    private val threshold: Double = 2.0,
    private val ejectionMs: Long = 5_000,
) {
    private val states = HashMap<InstanceId, Speed>()

    /** Records the first token of a request, [firstTokenMs] after its start on [agent]. */
    public fun firstToken(
        agent: InstanceId,
        firstTokenMs: Double,
        nowMs: Long,
    ) {
        val speed = speedOf(agent)
        speed.firstTokenMs = speed.averaged(speed.firstTokenMs, firstTokenMs)
        review(speed, nowMs)
    }

    /** Records the average interval between tokens of a part of a stream from [agent]. */
    public fun betweenTokens(
        agent: InstanceId,
        intervalMs: Double,
        nowMs: Long,
    ) {
        val speed = speedOf(agent)
        speed.betweenTokensMs = speed.averaged(speed.betweenTokensMs, intervalMs)
        review(speed, nowMs)
    }

    /** Records an offer: an offer to an agent whose ejection has ended is its probe. */
    public fun offered(
        agent: InstanceId,
        nowMs: Long,
    ) {
        val speed = states[agent] ?: return
        if (speed.ejectedForMs == 0L || nowMs < speed.ejectedUntilMs) return
        speed.probing = true
        speed.ejectedUntilMs = nowMs + ejectionMs
    }

    /** Forgets an agent that left. */
    public fun forget(agent: InstanceId) {
        states.remove(agent)
    }

    /** [view] with the averages and the end of the ejection. */
    public fun apply(view: AgentView): AgentView {
        val speed = states[view.instance] ?: return view
        return view.copy(
            firstTokenAverageMs = speed.firstTokenMs,
            betweenTokensAverageMs = speed.betweenTokensMs,
            ejectedUntilMs = maxOf(view.ejectedUntilMs, speed.ejectedUntilMs),
        )
    }

    private fun speedOf(agent: InstanceId) = states.getOrPut(agent) { Speed() }

    private fun review(
        speed: Speed,
        nowMs: Long,
    ) {
        val slow = isSlow(speed) { it.firstTokenMs } || isSlow(speed) { it.betweenTokensMs }
        if (!slow) {
            speed.ejectedForMs = 0
            speed.ejectedUntilMs = 0
        } else if (speed.ejectedForMs == 0L || speed.probing) {
            speed.ejectedForMs =
                if (speed.ejectedForMs == 0L) ejectionMs else minOf(2 * speed.ejectedForMs, MAX_EJECTION_MS)
            speed.ejectedUntilMs = nowMs + speed.ejectedForMs
        }
        speed.probing = false
    }

    private fun isSlow(
        speed: Speed,
        value: (Speed) -> Double?,
    ): Boolean {
        val own = value(speed) ?: return false
        val median = states.values.mapNotNull(value).medianOrNull() ?: return false
        return own > threshold * maxOf(1.0, median)
    }

    private companion object {
        const val MAX_EJECTION_MS = 60_000L
    }
}

private class Speed {
    var firstTokenMs: Double? = null
    var betweenTokensMs: Double? = null
    var ejectedUntilMs = 0L
    var ejectedForMs = 0L
    var probing = false

    /** A probe replaces the average, because the old one describes the agent as it was before. */
    fun averaged(
        old: Double?,
        new: Double,
    ) = if (old == null || probing) new else old + (new - old) * ALPHA
}

private const val ALPHA = 0.2
private const val MIN_PEERS = 3
private const val SLOWNESS_NOTICED = 1.5
