/*
 * Command line entry point of the stand-ins, test doubles for the outside systems.
 */
package io.teaselspring.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import io.ktor.server.application.Application
import io.teaselspring.standins.engine.EngineCommand
import io.teaselspring.standins.platform.PlatformCommand
import io.teaselspring.standins.proxy.ProxyCommand
import io.teaselspring.standins.service.ServiceCommand
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking

/** A subcommand that serves HTTP until the process is ended. */
internal abstract class HttpStandin(
    name: String,
) : CliktCommand(name) {
    private val host by option("--host").default("127.0.0.1")
    private val port by option("--port", help = "0 leaves the choice to the system").int().default(0)

    private val stutterShare by option("--stutter-share", help = "share of responses that are joined with another")
        .double()
        .default(0.0)
    private val stutterSeed by option("--stutter-seed").int().default(1)

    abstract fun module(): Application.() -> Unit

    override fun run() =
        runBlocking {
            val server = startServer(host, port, Stutter(stutterShare, stutterSeed), module())
            println("event=listening port=${server.port}")
            awaitCancellation()
        }
}

/** Starts the program. */
fun main(args: Array<String>) {
    // Without Ktor's hook SIGTERM ends the process at once; with it running streams hold it up for over a second.
    System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    NoOpCliktCommand("standins")
        .subcommands(PlatformCommand(), EngineCommand(), ServiceCommand(), ProxyCommand())
        .main(args)
}

/** Ends the process as a crash does: at once, without closing anything in order. */
internal fun haltProcess() = Runtime.getRuntime().halt(137)
