/*
 * How fast agents answer, as this entry sees it. Agents are compared with those that serve the same model.
 */
package io.teaselspring.daemon.entry

import io.teaselspring.core.InstanceId
import io.teaselspring.core.ModelName
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.choice.AgentView
import io.teaselspring.core.choice.StragglerDetector
import io.teaselspring.daemon.MonotonicMs
import io.teaselspring.protocol.CHUNK_WINDOW

/** Tokens of a stream over which an interval is averaged. */
private const val PART_TOKENS = CHUNK_WINDOW / 4

/** The speeds of all agents. All functions may be called from any thread. */
internal class AgentSpeeds(
    private val nowMs: MonotonicMs,
) {
    private val detectors = HashMap<Pair<UpstreamName, ModelName?>, StragglerDetector>()

    /** [views] with what is known about the speed of each for requests to [to]. */
    @Synchronized
    fun apply(
        to: Destination,
        views: List<AgentView>,
    ): List<AgentView> = detectors[to.upstream to to.model]?.let { detector -> views.map(detector::annotate) } ?: views

    @Synchronized
    fun offered(
        to: Destination,
        agent: InstanceId,
    ) = detector(to).recordOffer(agent, nowMs())

    @Synchronized
    fun firstToken(
        to: Destination,
        agent: InstanceId,
        tookMs: Long,
    ) = detector(to).recordFirstToken(agent, tookMs.toDouble(), nowMs())

    @Synchronized
    fun betweenTokens(
        to: Destination,
        agent: InstanceId,
        averageMs: Double,
    ) = detector(to).recordTokenInterval(agent, averageMs, nowMs())

    @Synchronized
    fun forget(agent: InstanceId) = detectors.values.forEach { it.remove(agent) }

    private fun detector(to: Destination) = detectors.getOrPut(to.upstream to to.model) { StragglerDetector() }
}

/** Times the tokens of one attempt on [agent] and reports them to [speeds]. */
internal class TokenTimes(
    private val speeds: AgentSpeeds,
    private val to: Destination,
    private val agent: InstanceId,
    private val nowMs: MonotonicMs,
    private val waitsInQueue: Boolean,
) {
    private val offeredAtMs = nowMs()
    private var tokens = 0
    private var partStartMs = 0L
    private var partCallerMs = 0L

    /** A token arrived; [toCaller] passes it on. */
    suspend fun token(toCaller: suspend () -> Unit) {
        val now = nowMs()
        // A wait in the queue of a busy agent says nothing about the speed of its engine.
        if (tokens == 0 && !waitsInQueue) speeds.firstToken(to, agent, now - offeredAtMs)
        if (tokens % PART_TOKENS == 0) endPart(now)
        tokens += 1
        toCaller()
        partCallerMs += nowMs() - now
    }

    private fun endPart(now: Long) {
        val tookMs = now - partStartMs
        // A slow caller holds back the engine, which is then not to blame.
        val isCallerSlow = partCallerMs * 4 > tookMs
        if (tokens > 0 && !isCallerSlow) speeds.betweenTokens(to, agent, tookMs.toDouble() / PART_TOKENS)
        partStartMs = now
        partCallerMs = 0
    }
}
