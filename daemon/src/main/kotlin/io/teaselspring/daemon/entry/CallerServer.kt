/*
 * HTTP server for callers, with a limit on concurrent requests and connection draining. It uses Netty with and without
 * TLS, because Ktor's CIO engine has no TLS and leaves some requests with `Connection: close` without a response.
 */
package io.teaselspring.daemon.entry

import io.ktor.http.HttpHeaders
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.serverConfig
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.engine.sslConnector
import io.ktor.server.netty.Netty
import io.ktor.server.response.header
import io.teaselspring.core.RequestId
import io.teaselspring.daemon.http.boundAddress
import io.teaselspring.daemon.http.hostOf
import io.teaselspring.daemon.http.portOf
import io.teaselspring.daemon.settings.RequestLimits
import io.teaselspring.daemon.settings.TlsFiles
import kotlinx.coroutines.CancellationException
import org.slf4j.LoggerFactory
import java.util.concurrent.atomic.AtomicInteger

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.entry")

/** The HTTP server for callers; [handler] responds to their requests. */
internal class CallerServer(
    private val handler: CallerHandler,
    private val limits: RequestLimits,
) {
    private val running = AtomicInteger()
    private var server: EmbeddedServer<*, *>? = null

    @Volatile
    private var isRefusingNew = false

    /** Number of requests in flight. */
    val inFlight: Int get() = running.get()

    /** Listens on [address]; returns the bound address. */
    suspend fun start(
        address: String,
        tls: TlsFiles?,
    ): String {
        val started = server(address, tls)
        started.startSuspend(wait = false)
        server = started
        return started.boundAddress()
    }

    /** Starts to refuse new requests with status 503. */
    fun refuseNew() {
        isRefusingNew = true
    }

    /** Closes all connections. */
    suspend fun stop() {
        server?.stopSuspend(gracePeriodMillis = STOP_GRACE_MS, timeoutMillis = 2 * STOP_GRACE_MS)
    }

    private fun server(
        address: String,
        tls: TlsFiles?,
    ): EmbeddedServer<*, *> =
        embeddedServer(Netty, serverConfig { module { installHandler() } }) {
            val password = CharArray(0)
            if (tls == null) {
                connector {
                    host = hostOf(address)
                    port = portOf(address)
                }
            } else {
                sslConnector(loadKeyStore(tls, password), KEY_ALIAS, { password }, { password }) {
                    host = hostOf(address)
                    port = portOf(address)
                }
            }
            maxHeaderSize = limits.headerBytes
            tcpKeepAlive = true
        }

    private fun Application.installHandler() {
        intercept(ApplicationCallPipeline.Call) { context.whileConnected { handle(context) } }
    }

    private suspend fun handle(call: ApplicationCall) {
        try {
            val concurrent = running.incrementAndGet()
            when {
                isRefusingNew -> refuse(call, Refusal(503, "draining", "this entry is stopping", retryAfterMs = 1_000))
                concurrent > limits.connections ->
                    refuse(call, Refusal(503, "overloaded", "too many requests at once", retryAfterMs = 1_000))
                else -> handler.handle(call)
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            // The status was already sent, so the only way to report the failure is to close the connection.
            if (call.response.isCommitted) throw e
            log.warn("event=request_error error=\"{}\"", e.toString())
            call.refuse(Refusal(500, "internal_error", "internal error", ExecutionStatus.OUTCOME_UNKNOWN), NO_ID)
        } finally {
            running.decrementAndGet()
        }
    }

    private suspend fun refuse(
        call: ApplicationCall,
        refusal: Refusal,
    ) {
        call.response.header(HttpHeaders.Connection, "close")
        call.refuse(refusal, NO_ID)
    }

    private companion object {
        const val STOP_GRACE_MS = 200L
        val NO_ID = RequestId("none")
    }
}
