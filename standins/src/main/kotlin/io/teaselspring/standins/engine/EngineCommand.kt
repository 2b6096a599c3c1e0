/*
 * The subcommand that runs the model engine stand-in.
 */
package io.teaselspring.standins.engine

import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import io.ktor.server.application.Application
import io.teaselspring.standins.HttpStandin
import io.teaselspring.standins.haltProcess
import kotlin.time.Clock
import kotlin.time.TimeSource

internal class EngineCommand : HttpStandin("engine") {
    private val models by option("--model", help = "may be repeated").multiple(required = true)
    private val baseTokenMs by option("--base-token-ms").double().default(10.0)
    private val tokenMsPerRunning by option("--token-ms-per-running").double().default(0.5)
    private val prefillTokensPerMs by option("--prefill-tokens-per-ms").double().default(10.0)
    private val maxBatch by option("--max-batch").int().default(16)
    private val cacheBlocks by option("--cache-blocks", help = "blocks of 16 tokens").int().default(4_096)
    private val reportLagMs by option("--report-lag-ms").long().default(500)

    override fun module(): Application.() -> Unit {
        val settings =
            EngineSettings(
                models = models.toSet(),
                baseTokenMs = baseTokenMs,
                tokenMsPerRunning = tokenMsPerRunning,
                prefillTokensPerMs = prefillTokensPerMs,
                maxBatch = maxBatch,
                cacheBlocks = cacheBlocks,
                reportLagMs = reportLagMs,
            )
        val engine = Engine(settings, Clock.System, TimeSource.Monotonic, ::haltProcess)
        return { engine(engine) }
    }
}
