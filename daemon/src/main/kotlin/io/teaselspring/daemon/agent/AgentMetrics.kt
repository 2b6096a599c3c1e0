/*
 * Metrics of an agent.
 */
package io.teaselspring.daemon.agent

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.teaselspring.core.admission.SchedulerLoad
import io.teaselspring.protocol.Message
import io.teaselspring.protocol.NotRunReason
import io.teaselspring.protocol.RequestKind

/** Counts what one agent does in [registry]. */
internal class AgentMetrics(
    registry: PrometheusRegistry,
) {
    private val refusals =
        Counter
            .builder()
            .name("teaselspring_agent_refusals")
            .help("Offers and queued requests answered with not run, by reason")
            .labelNames("reason")
            .register(registry)
    private val runs =
        Counter
            .builder()
            .name("teaselspring_agent_runs")
            .help("Runs on the upstream by kind of call and how they ended")
            .labelNames("kind", "result")
            .register(registry)
    private val tokens =
        Counter
            .builder()
            .name("teaselspring_agent_completion_tokens")
            .help("Tokens produced by runs that have ended")
            .register(registry)
    private val requests =
        Gauge
            .builder()
            .name("teaselspring_agent_requests")
            .help("Requests at the agent by state, and the largest number that may run")
            .labelNames("state")
            .register(registry)
    private val upstream =
        Gauge
            .builder()
            .name("teaselspring_agent_upstream_reachable")
            .help("1 while the upstream answers its health check")
            .register(registry)

    init {
        NotRunReason.entries.forEach { refusals.initLabelValues(it.name.lowercase()) }
    }

    /** The last message on an attempt is sent. */
    fun messageSent(message: Message) {
        if (message is Message.NotRun) refusals.labelValues(message.reason.name.lowercase()).inc()
    }

    /** The load was reported. */
    fun load(load: SchedulerLoad) {
        requests.labelValues("running").set(load.running.toDouble())
        requests.labelValues("queued").set(load.queued.toDouble())
        requests.labelValues("limit").set(load.limit.toDouble())
    }

    /** A run ended as [result], after it produced [completionTokens]. */
    fun runEnded(
        kind: RequestKind,
        result: String,
        completionTokens: Long,
    ) {
        runs.labelValues(kind.name.lowercase(), result).inc()
        // A preempted run goes on later and is counted then.
        if (result != "stopped") tokens.inc(completionTokens.toDouble())
    }

    fun reachable(isReachable: Boolean) = upstream.set(if (isReachable) 1.0 else 0.0)
}
