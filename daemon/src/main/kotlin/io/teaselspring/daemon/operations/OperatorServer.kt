/*
 * HTTP listener for operators: health and readiness endpoints, Prometheus metrics, the state dump, drain, and routes
 * that other components add. All paths except health, readiness and metrics require the operator key.
 */
package io.teaselspring.daemon.operations

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.serverConfig
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.path
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.teaselspring.daemon.http.boundAddress
import io.teaselspring.daemon.http.hostOf
import io.teaselspring.daemon.http.portOf
import kotlinx.serialization.json.JsonObject
import java.io.ByteArrayOutputStream
import java.security.MessageDigest
import java.util.HexFormat

private val UNAUTHENTICATED_PATHS = setOf("/healthz", "/readyz", "/metrics")

/**
 * Inputs of the operators' listener. [operatorKeySha256] is 64 hexadecimal digits. [drain] starts a drain and returns
 * at once. [routes] adds further routes, which require the operator key too.
 */
class OperatorParts(
    val operatorKeySha256: String,
    val registry: PrometheusRegistry,
    val isReady: () -> Boolean,
    val state: () -> JsonObject,
    val drain: () -> Unit,
    val routes: Route.() -> Unit = {},
)

/** Serves the operators' endpoints. */
class OperatorServer(
    private val parts: OperatorParts,
) {
    private var server: EmbeddedServer<*, *>? = null

    /** Listens on [address], "IP:port", and returns the bound address. */
    suspend fun start(address: String): String {
        val started =
            embeddedServer(CIO, serverConfig { module { installOperatorRoutes(parts) } }) {
                connector {
                    host = hostOf(address)
                    port = portOf(address)
                }
            }
        started.startSuspend(wait = false)
        server = started
        return started.boundAddress()
    }

    /** Stops listening and closes all connections. */
    suspend fun stop() {
        server?.stopSuspend(gracePeriodMillis = 0, timeoutMillis = 100)
    }
}

private fun Application.installOperatorRoutes(parts: OperatorParts) {
    val keyHash = HexFormat.of().parseHex(parts.operatorKeySha256)
    intercept(ApplicationCallPipeline.Plugins) {
        if (context.request.path() !in UNAUTHENTICATED_PATHS && !context.hasOperatorKey(keyHash)) {
            context.respondText(UNAUTHORIZED, ContentType.Application.Json, HttpStatusCode.Unauthorized)
            finish()
        }
    }
    routing {
        get("/healthz") { call.respondText("ok\n") }
        get("/readyz") {
            val isReady = parts.isReady()
            val status = if (isReady) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
            call.respondText(if (isReady) "ready\n" else "not ready\n", status = status)
        }
        get("/metrics") { call.respondBytes(parts.registry.toPrometheusText(), METRICS_CONTENT_TYPE) }
        get("/state") { call.respondText(parts.state().toString(), ContentType.Application.Json) }
        post("/drain") {
            parts.drain()
            call.respondText("{\"draining\":true}", ContentType.Application.Json, HttpStatusCode.Accepted)
        }
        parts.routes(this)
    }
}

private const val UNAUTHORIZED = "{\"error\":{\"type\":\"unauthorized\",\"message\":\"an operator's key is needed\"}}"

private val METRICS_CONTENT_TYPE = ContentType.parse(PrometheusTextFormatWriter.CONTENT_TYPE)

private fun ApplicationCall.hasOperatorKey(keyHash: ByteArray): Boolean {
    val key = request.headers[HttpHeaders.Authorization]?.takeIf { it.startsWith("Bearer ") }?.drop("Bearer ".length)
    val hash = MessageDigest.getInstance("SHA-256").digest(key.orEmpty().encodeToByteArray())
    return MessageDigest.isEqual(hash, keyHash)
}

private fun PrometheusRegistry.toPrometheusText(): ByteArray =
    ByteArrayOutputStream()
        .also { PrometheusTextFormatWriter.builder().build().write(it, scrape()) }
        .toByteArray()
