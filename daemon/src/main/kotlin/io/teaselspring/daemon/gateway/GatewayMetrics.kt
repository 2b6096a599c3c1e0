/*
 * Prometheus metrics of an agentless entry.
 */
package io.teaselspring.daemon.gateway

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Counters and histograms, registered in [registry]. */
internal class GatewayMetrics(
    val registry: PrometheusRegistry,
) {
    private val requests =
        Counter
            .builder()
            .name("teaselspring_calls_total")
            .help("Calls by route and outcome")
            .labelNames("route", "outcome")
            .register(registry)
    private val attempts =
        Counter
            .builder()
            .name("teaselspring_call_attempts_total")
            .help("Offers to upstream instances by upstream and outcome")
            .labelNames("upstream", "outcome")
            .register(registry)
    private val dataCentreAttempts =
        Counter
            .builder()
            .name("teaselspring_data_centre_attempts_total")
            .help("Offers to instances by upstream, data centre of the instance, and whether that is the entry's own")
            .labelNames("upstream", "data_centre", "place")
            .register(registry)
    private val responseEnds =
        Counter
            .builder()
            .name("teaselspring_response_ends_total")
            .help("Ends of responses of instances by upstream, framing of the body, and what had arrived")
            .labelNames("upstream", "framing", "end")
            .register(registry)
    private val instanceCrashes =
        Counter
            .builder()
            .name("teaselspring_instance_crashes_total")
            .help("Instances that refused connections after a request broke off before its first event, by upstream")
            .labelNames("upstream")
            .register(registry)
    private val limitedAttempts =
        Counter
            .builder()
            .name("teaselspring_limited_attempts_total")
            .help("Attempts at instances that state a limit of requests a second, by upstream")
            .labelNames("upstream")
            .register(registry)
    private val coldAttempts =
        Counter
            .builder()
            .name("teaselspring_cold_attempts_total")
            .help("Attempts at instances that counted as cold, by upstream")
            .labelNames("upstream")
            .register(registry)
    private val copies =
        Counter
            .builder()
            .name("teaselspring_cached_part_copies_total")
            .help("Attempts whose instance was told to fetch cached parts from another one, by upstream")
            .labelNames("upstream")
            .register(registry)
    private val coldRefusals =
        Counter
            .builder()
            .name("teaselspring_cold_refusals_total")
            .help("Requests refused early because all instances were cold and could take no more, by upstream")
            .labelNames("upstream")
            .register(registry)
    private val queueDecisions =
        Counter
            .builder()
            .name("teaselspring_queue_decisions_total")
            .help("Requests with a prompt sent to an instance or refused, by upstream, organisation and priority")
            .labelNames("upstream", "organisation", "priority", "outcome")
            .register(registry)
    private val resumptions =
        Counter
            .builder()
            .name("teaselspring_stream_resumptions_total")
            .help("Streams that callers resume, by upstream and how the version that began them was found")
            .labelNames("upstream", "source")
            .register(registry)
    private val storeRestores =
        Counter
            .builder()
            .name("teaselspring_store_restores_total")
            .help("Restores of the store from an older copy, as its responses show them")
            .register(registry)
    private val responseSeconds =
        Histogram
            .builder()
            .name("teaselspring_call_answer_seconds")
            .help("Time to the answer, or to the first event of a stream")
            .labelNames("route")
            .classicOnly()
            .classicUpperBounds(0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 3.0, 8.0)
            .register(registry)

    private val queueSeconds =
        Histogram
            .builder()
            .name("teaselspring_call_queue_seconds")
            .help("Time in the queue of the entry until the first offer to an instance")
            .labelNames("route")
            .classicOnly()
            .classicUpperBounds(0.01, 0.03, 0.1, 0.3, 1.0, 1.5, 3.0, 8.0)
            .register(registry)
    private val streamSeconds =
        Histogram
            .builder()
            .name("teaselspring_stream_seconds")
            .help("Time between the first event and the end of a stream by outcome")
            .labelNames("route", "outcome")
            .classicOnly()
            .classicUpperBounds(0.1, 0.3, 1.0, 2.0, 4.0, 8.0, 16.0)
            .register(registry)
    private val controlCalls =
        Counter
            .builder()
            .name("teaselspring_control_calls_total")
            .help("Calls to the platform's store and interfaces by kind and outcome")
            .labelNames("call", "outcome")
            .register(registry)

    private val taskFailures =
        Counter
            .builder()
            .name("teaselspring_task_failures_total")
            .help("Unexpected errors of background tasks, by task")
            .labelNames("task")
            .register(registry)

    private val outOfStep =
        Counter
            .builder()
            .name("teaselspring_connections_out_of_step_total")
            .help("Connections whose server wrote what is not the response to the request on it, by kind")
            .labelNames("kind")
            .register(registry)

    private val memoryRefusals =
        Counter
            .builder()
            .name("teaselspring_memory_refusals_total")
            .help("Requests and responses that were not kept because the entry's byte budget was used up")
            .labelNames("what")
            .register(registry)

    fun outOfStep(kind: String) = outOfStep.labelValues(kind).inc()

    /** Shows what [memory] holds of all organisations and of the one that holds most. */
    fun observe(memory: ByteBudget) {
        GaugeWithCallback
            .builder()
            .name("teaselspring_kept_bytes")
            .help("Bytes kept for callers, of all and of the organisation that holds most")
            .labelNames("holder")
            .callback {
                it.call(memory.usedBytes.toDouble(), "all")
                it.call(
                    (
                        memory.organisations
                            .largest(1)
                            .firstOrNull()
                            ?.second ?: 0
                    ).toDouble(),
                    "largest",
                )
            }.register(registry)
    }

    /** [what] is "request", "response" or "stream". */
    fun memoryRefused(what: String) = memoryRefusals.labelValues(what).inc()

    fun request(
        route: String,
        outcome: String,
    ) = requests.labelValues(route, outcome).inc()

    fun attempt(
        upstream: String,
        outcome: String,
    ) = attempts.labelValues(upstream, outcome).inc()

    fun dataCentreAttempt(
        upstream: String,
        dataCentre: String,
        isLocal: Boolean,
    ) = dataCentreAttempts.labelValues(upstream, dataCentre, if (isLocal) "local" else "remote").inc()

    fun responseEnded(
        upstream: String,
        framing: String,
        end: String,
    ) = responseEnds.labelValues(upstream, framing, end).inc()

    fun instanceCrashed(upstream: String) = instanceCrashes.labelValues(upstream).inc()

    fun limitedAttempt(upstream: String) = limitedAttempts.labelValues(upstream).inc()

    fun coldAttempt(upstream: String) = coldAttempts.labelValues(upstream).inc()

    fun cachedPartCopied(upstream: String) = copies.labelValues(upstream).inc()

    fun coldRefused(upstream: String) = coldRefusals.labelValues(upstream).inc()

    /** [outcome] is "dispatched", "refused_early" or "refused_waited". */
    fun queueDecided(
        upstream: String,
        organisation: String,
        priority: Int,
        outcome: String,
    ) = queueDecisions.labelValues(upstream, organisation, priority.toString(), outcome).inc()

    fun streamResumed(
        upstream: String,
        source: String,
    ) = resumptions.labelValues(upstream, source).inc()

    fun taskFailed(task: String) = taskFailures.labelValues(task).inc()

    fun storeRestored() = storeRestores.inc()

    fun responded(
        route: String,
        after: Duration,
    ) = responseSeconds.labelValues(route).observe(after.toDouble(DurationUnit.SECONDS))

    fun dispatched(
        route: String,
        after: Duration,
    ) = queueSeconds.labelValues(route).observe(after.toDouble(DurationUnit.SECONDS))

    fun streamEnded(
        route: String,
        outcome: String,
        after: Duration,
    ) = streamSeconds.labelValues(route, outcome).observe(after.toDouble(DurationUnit.SECONDS))

    fun controlCall(
        call: String,
        outcome: String,
    ) = controlCalls.labelValues(call, outcome).inc()
}
