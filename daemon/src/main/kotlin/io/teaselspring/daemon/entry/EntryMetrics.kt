/*
 * Prometheus metrics of an entry: requests, offers, first-token latency and request duration.
 */
package io.teaselspring.daemon.entry

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.teaselspring.core.dispatch.DispatchAction

private const val MS_PER_SECOND = 1000.0

/** Registers the metrics of one entry in [registry]. [running] returns the number of running requests. */
internal class EntryMetrics(
    registry: PrometheusRegistry,
    running: () -> Int,
) : RequestObserver {
    private val requests =
        Counter
            .builder()
            .name("teaselspring_requests")
            .help("Requests that have ended, by class and how they ended")
            .labelNames("class", "end")
            .register(registry)
    private val offers =
        Counter
            .builder()
            .name("teaselspring_offers")
            .help("Offers to agents by class and pass; offers beyond the first of a request are repeats")
            .labelNames("class", "pass")
            .register(registry)
    private val firstToken =
        Histogram
            .builder()
            .name("teaselspring_first_token_seconds")
            .help("Time from a request's arrival to the first part of its answer")
            .classicUpperBounds(0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0, 30.0)
            .classicOnly()
            .labelNames("class")
            .register(registry)
    private val duration =
        Histogram
            .builder()
            .name("teaselspring_request_seconds")
            .help("Time from a request's arrival to its end")
            .classicUpperBounds(0.05, 0.25, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0)
            .classicOnly()
            .labelNames("class")
            .register(registry)

    init {
        GaugeWithCallback
            .builder()
            .name("teaselspring_requests_running")
            .help("Requests that run")
            .callback { it.call(running().toDouble()) }
            .register(registry)
    }

    override fun onOffer(
        request: RoutedRequest,
        offer: DispatchAction.Offer,
    ) = offers.labelValues(request.className(), if (offer.displace) "displacing" else "plain").inc()

    override fun onFirstToken(
        request: RoutedRequest,
        durationMs: Long,
    ) = firstToken.labelValues(request.className()).observe(durationMs / MS_PER_SECOND)

    override fun onEnd(
        request: RoutedRequest,
        status: Int,
        refusal: Refusal?,
        durationMs: Long,
    ) {
        requests.labelValues(request.className(), refusal?.type ?: "complete").inc()
        duration.labelValues(request.className()).observe(durationMs / MS_PER_SECOND)
    }
}

private fun RoutedRequest.className() = destination.className.value
