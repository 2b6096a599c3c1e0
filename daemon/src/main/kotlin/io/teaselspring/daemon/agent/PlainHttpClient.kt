/*
 * The HTTP client for plain calls. Ktor's CIO client takes a body that ends before its last chunk or its declared
 * length as whole, so it can't tell a truncated answer from a complete one; this one fails on both.
 */
package io.teaselspring.daemon.agent

import io.ktor.client.HttpClient
import io.ktor.client.engine.apache5.Apache5
import org.apache.hc.core5.http.ConnectionReuseStrategy
import org.apache.hc.core5.reactor.IOReactorConfig
import kotlin.time.Duration

private const val MAX_CONNECTIONS = 100_000

/** Answers are never retried, redirected, unpacked or kept in a cookie store, and each call has its own connection. */
internal fun plainHttpClient(connectLimit: Duration): HttpClient =
    HttpClient(Apache5) {
        expectSuccess = false
        followRedirects = false
        engine {
            followRedirects = false
            socketTimeout = 0
            connectTimeout = connectLimit.inWholeMilliseconds
            // The scheduler bounds the calls; waiting for a pooled connection would hide the wait from it.
            connectionRequestTimeout = connectLimit.inWholeMilliseconds
            configureConnectionManager {
                setMaxConnTotal(MAX_CONNECTIONS)
                setMaxConnPerRoute(MAX_CONNECTIONS)
            }
            // Otherwise the client offers to upgrade each plain GET to TLS.
            customizeRequest { setProtocolUpgradeEnabled(false) }
            customizeClient {
                // Its default repeats calls answered with 429 or 503, and idempotent ones that failed.
                disableAutomaticRetries()
                disableRedirectHandling()
                disableCookieManagement()
                disableAuthCaching()
                // A reused connection that the upstream has closed meanwhile fails a call of unknown outcome.
                setConnectionReuseStrategy(ConnectionReuseStrategy { _, _, _ -> false })
                setIOReactorConfig(IOReactorConfig.custom().setIoThreadCount(1).build())
            }
        }
    }
