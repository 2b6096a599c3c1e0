/*
 * The subcommand that runs the platform stand-in.
 */
package io.teaselspring.standins.platform

import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.long
import io.ktor.server.application.Application
import io.teaselspring.standins.HttpStandin
import kotlin.time.Clock
import kotlin.time.TimeSource

internal class PlatformCommand : HttpStandin("platform") {
    private val checksEpoch by option("--checks-epoch", help = "upstreams whose receivers check epochs")
        .split(",")
        .default(emptyList())
    private val lagMs by option("--lag-ms", help = "lag of the instance list").long().default(1_000)

    override fun module(): Application.() -> Unit {
        val settings = PlatformSettings(checksEpoch.filter { it.isNotBlank() }.toSet(), lagMs)
        val state = PlatformState(settings, Clock.System, TimeSource.Monotonic)
        return { platform(state) }
    }
}
