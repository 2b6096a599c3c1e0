/*
 * Prometheus metrics of an agent.
 */
package io.teaselspring.daemon.agent

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.teaselspring.core.admission.SchedulerLoad
import io.teaselspring.core.registry.Availability
import io.teaselspring.protocol.Message
import io.teaselspring.protocol.NotRunReason
import io.teaselspring.protocol.RequestKind

/** The metrics of one agent, registered in [registry]. */
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
    private val memoryRefusals =
        Counter
            .builder()
            .name("teaselspring_agent_memory_refusals")
            .help("Offers answered with not run because their bodies did not fit into memory")
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

    private val availability =
        Gauge
            .builder()
            .name("teaselspring_agent_upstream_availability")
            .help("1 for what the upstream has said of itself: open, paused or leaving")
            .labelNames("availability")
            .register(registry)

    init {
        NotRunReason.entries.forEach { refusals.initLabelValues(it.name.lowercase()) }
    }

    /** Counts [message], the last one on an attempt, if it is a refusal. */
    fun recordMessageSent(message: Message) {
        if (message is Message.NotRun) refusals.labelValues(message.reason.name.lowercase()).inc()
    }

    /** Counts an offer whose body does not fit into memory. */
    fun recordMemoryRefusal() = memoryRefusals.inc()

    /** Sets the request gauges to the reported [load]. */
    fun recordLoad(load: SchedulerLoad) {
        requests.labelValues("running").set(load.running.toDouble())
        requests.labelValues("queued").set(load.queued.toDouble())
        requests.labelValues("limit").set(load.limit.toDouble())
        Availability.entries.forEach {
            availability.labelValues(it.name.lowercase()).set(if (it == load.availability) 1.0 else 0.0)
        }
    }

    /** Counts a run that ended with [result] after it produced [completionTokens]. */
    fun recordRunEnd(
        kind: RequestKind,
        result: String,
        completionTokens: Long,
    ) {
        runs.labelValues(kind.name.lowercase(), result).inc()
        // The tokens of a preempted run are counted when its later run ends.
        if (result != "stopped") tokens.inc(completionTokens.toDouble())
    }

    fun recordReachability(isReachable: Boolean) = upstream.set(if (isReachable) 1.0 else 0.0)
}
