/*
 * The subcommand that runs the plain service stand-in.
 */
package io.teaselspring.standins.service

import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import io.ktor.server.application.Application
import io.teaselspring.standins.HttpStandin
import io.teaselspring.standins.haltProcess
import kotlin.time.Clock

internal class ServiceCommand : HttpStandin("service") {
    private val workMs by option("--work-ms", help = "duration of one call").long().default(5)
    private val maxConcurrent by option("--max-concurrent", help = "calls run at the same time").int().default(16)

    override fun module(): Application.() -> Unit {
        val service = PlainService(ServiceSettings(workMs, maxConcurrent), Clock.System, ::haltProcess)
        return { plainService(service) }
    }
}
