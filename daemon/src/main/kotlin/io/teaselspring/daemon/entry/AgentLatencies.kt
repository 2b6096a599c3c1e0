/*
 * Latency-based outlier detection: first-token latency and time between tokens of each agent, as measured on this
 * entry. Each agent is compared with the agents that serve the same model of the same upstream.
 */
package io.teaselspring.daemon.entry

import io.teaselspring.core.InstanceId
import io.teaselspring.core.ModelName
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.choice.AgentView
import io.teaselspring.core.choice.StragglerDetector
import io.teaselspring.daemon.MonotonicMs
import io.teaselspring.protocol.CHUNK_WINDOW

/** Number of tokens over which the time between tokens is averaged. */
private const val SAMPLE_TOKENS = CHUNK_WINDOW / 4

/** Latencies of all agents, one straggler detector per upstream and model. Thread-safe. */
internal class AgentLatencies(
    private val nowMs: MonotonicMs,
) {
    private val detectors = HashMap<Pair<UpstreamName, ModelName?>, StragglerDetector>()

    /** Returns [views] with the straggler state of each agent for requests to [to]. */
    @Synchronized
    fun apply(
        to: Destination,
        views: List<AgentView>,
    ): List<AgentView> = detectors[to.upstream to to.model]?.let { detector -> views.map(detector::annotate) } ?: views

    @Synchronized
    fun recordOffer(
        to: Destination,
        agent: InstanceId,
    ) = detector(to).recordOffer(agent, nowMs())

    @Synchronized
    fun recordFirstToken(
        to: Destination,
        agent: InstanceId,
        firstTokenMs: Long,
    ) = detector(to).recordFirstToken(agent, firstTokenMs.toDouble(), nowMs())

    @Synchronized
    fun recordTokenInterval(
        to: Destination,
        agent: InstanceId,
        averageMs: Double,
    ) = detector(to).recordTokenInterval(agent, averageMs, nowMs())

    @Synchronized
    fun remove(agent: InstanceId) = detectors.values.forEach { it.remove(agent) }

    private fun detector(to: Destination) = detectors.getOrPut(to.upstream to to.model) { StragglerDetector() }
}

/** Measures the token latencies of one attempt on [agent] and records them in [latencies]. */
internal class TokenLatencyRecorder(
    private val latencies: AgentLatencies,
    private val to: Destination,
    private val agent: InstanceId,
    private val nowMs: MonotonicMs,
    private val waitsInQueue: Boolean,
) {
    private val offeredAtMs = nowMs()
    private var tokens = 0
    private var sampleStartMs = 0L
    private var callerWriteMs = 0L

    /** Records the arrival of a token and runs [writeToCaller], whose duration counts as time of the caller. */
    suspend fun record(writeToCaller: suspend () -> Unit) {
        val now = nowMs()
        // Queueing time on a busy agent is not a latency of its engine.
        if (tokens == 0 && !waitsInQueue) latencies.recordFirstToken(to, agent, now - offeredAtMs)
        if (tokens % SAMPLE_TOKENS == 0) endSample(now)
        tokens += 1
        writeToCaller()
        callerWriteMs += nowMs() - now
    }

    private fun endSample(now: Long) {
        val sampleMs = now - sampleStartMs
        // Backpressure from a slow caller delays the engine, so the sample doesn't measure the agent.
        val isCallerSlow = callerWriteMs * 4 > sampleMs
        if (tokens > 0 && !isCallerSlow) latencies.recordTokenInterval(to, agent, sampleMs.toDouble() / SAMPLE_TOKENS)
        sampleStartMs = now
        callerWriteMs = 0
    }
}
