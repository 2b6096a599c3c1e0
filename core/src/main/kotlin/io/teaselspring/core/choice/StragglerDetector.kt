/*
 * Outlier detection by latency. A straggler is an agent whose time to first token or whose interval between tokens is
 * much longer than the median of its peers. Load reports don't reveal stragglers, because a slow engine reports the
 * same load as a fast one.
 */
package io.teaselspring.core.choice

import io.teaselspring.core.InstanceId

/** Median latencies of agents that serve the same model. */
internal class PeerLatencies(
    peers: Collection<AgentView>,
) {
    private val medianFirstTokenMs = peers.mapNotNull { it.firstTokenAverageMs }.medianOrNull()
    private val medianBetweenTokensMs = peers.mapNotNull { it.betweenTokensAverageMs }.medianOrNull()

    /**
     * Ratio of the latency of [agent] to the median; 1 if it is below [MIN_SLOWDOWN] or if there are fewer than
     * [MIN_PEERS] measurements.
     */
    fun slowdown(agent: AgentView): Double {
        val ratio =
            maxOf(
                ratio(agent.firstTokenAverageMs, medianFirstTokenMs),
                ratio(agent.betweenTokensAverageMs, medianBetweenTokensMs),
            )
        return if (ratio >= MIN_SLOWDOWN) ratio else 1.0
    }

    private fun ratio(
        value: Double?,
        median: Double?,
    ) = if (value == null || median == null) 1.0 else value / maxOf(1.0, median)
}

private fun List<Double>.medianOrNull() = if (size < MIN_PEERS) null else sorted()[(size - 1) / 2]

/**
 * Keeps the moving averages of the latencies of the agents that serve one model, and ejects stragglers. An agent whose
 * average is more than [threshold] times the median is ejected for [ejectionMs]. After that it receives a single
 * request as a probe; if the probe is slow too, the next ejection is twice as long, up to [MAX_EJECTION_MS]. Views must
 * pass through [annotate] before they are passed to [chooseAgent]. Not thread-safe.
 */
public class StragglerDetector(
    private val threshold: Double = 2.0,
    private val ejectionMs: Long = 5_000,
) {
    private val states = HashMap<InstanceId, LatencyState>()

    /** Records that [agent] produced the first token of a request [firstTokenMs] after the offer. */
    public fun recordFirstToken(
        agent: InstanceId,
        firstTokenMs: Double,
        nowMs: Long,
    ) {
        val state = stateOf(agent)
        state.firstTokenMs = state.smoothed(state.firstTokenMs, firstTokenMs)
        updateEjection(state, nowMs)
    }

    /** Records [intervalMs], the mean interval between tokens of a section of a stream from [agent]. */
    public fun recordTokenInterval(
        agent: InstanceId,
        intervalMs: Double,
        nowMs: Long,
    ) {
        val state = stateOf(agent)
        state.betweenTokensMs = state.smoothed(state.betweenTokensMs, intervalMs)
        updateEjection(state, nowMs)
    }

    /** Records an offer to [agent]. The first offer after the end of an ejection is the agent's probe. */
    public fun recordOffer(
        agent: InstanceId,
        nowMs: Long,
    ) {
        val state = states[agent] ?: return
        if (state.ejectionDurationMs == 0L || nowMs < state.ejectedUntilMs) return
        state.isProbing = true
        state.ejectedUntilMs = nowMs + ejectionMs
    }

    /** Removes the state of [agent]. */
    public fun remove(agent: InstanceId) {
        states.remove(agent)
    }

    /** Returns [view] with the averages and the end of the ejection of its agent. */
    public fun annotate(view: AgentView): AgentView {
        val state = states[view.instance] ?: return view
        return view.copy(
            firstTokenAverageMs = state.firstTokenMs,
            betweenTokensAverageMs = state.betweenTokensMs,
            ejectedUntilMs = maxOf(view.ejectedUntilMs, state.ejectedUntilMs),
        )
    }

    private fun stateOf(agent: InstanceId) = states.getOrPut(agent) { LatencyState() }

    private fun updateEjection(
        state: LatencyState,
        nowMs: Long,
    ) {
        val slow = isSlow(state) { it.firstTokenMs } || isSlow(state) { it.betweenTokensMs }
        if (!slow) {
            state.ejectionDurationMs = 0
            state.ejectedUntilMs = 0
        } else if (state.ejectionDurationMs == 0L || state.isProbing) {
            state.ejectionDurationMs =
                if (state.ejectionDurationMs == 0L) ejectionMs else minOf(2 * state.ejectionDurationMs, MAX_EJECTION_MS)
            state.ejectedUntilMs = nowMs + state.ejectionDurationMs
        }
        state.isProbing = false
    }

    private fun isSlow(
        state: LatencyState,
        value: (LatencyState) -> Double?,
    ): Boolean {
        val average = value(state) ?: return false
        val median = states.values.mapNotNull(value).medianOrNull() ?: return false
        return average > threshold * maxOf(1.0, median)
    }

    private companion object {
        const val MAX_EJECTION_MS = 60_000L
    }
}

/** Moving averages and ejection of one agent. */
private class LatencyState {
    var firstTokenMs: Double? = null
    var betweenTokensMs: Double? = null
    var ejectedUntilMs = 0L
    var ejectionDurationMs = 0L
    var isProbing = false

    /**
     * Exponentially weighted moving average. The result of a probe replaces the average, which describes the agent as
     * it was before the ejection.
     */
    fun smoothed(
        average: Double?,
        sample: Double,
    ) = if (average == null || isProbing) sample else average + (sample - average) * SMOOTHING_FACTOR
}

private const val SMOOTHING_FACTOR = 0.2

/** With fewer measured agents there is no median. */
private const val MIN_PEERS = 3

/** A smaller slowdown doesn't raise an agent's cost. */
private const val MIN_SLOWDOWN = 1.5
