/*
 * Command line entry point of `teaselspringd`.
 */
package io.teaselspring.daemon

import arrow.core.getOrElse
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import io.teaselspring.daemon.settings.readSettings

/** Exit code for settings that are not valid. */
private const val EXIT_INVALID = 2

private class Daemon : CliktCommand("teaselspringd") {
    private val settingsFile by option("--settings", help = "settings file, JSON with comments").path().required()
    private val check by option("--check", help = "only validate the settings").flag()

    override fun run() {
        val settings =
            readSettings(settingsFile).getOrElse { errors ->
                errors.forEach { echo(it.toString(), err = true) }
                throw ProgramResult(EXIT_INVALID)
            }
        if (check) echo("$settingsFile: valid") else runDaemon(settings)
    }
}

/** Starts the program. */
fun main(args: Array<String>) {
    // Ktor's own hook closes all connections on SIGTERM while the drain still waits for their requests.
    System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    Daemon().main(args)
}
