/*
 * Commands for the configuration's versions, usage, and the state of a daemon.
 */
package io.teaselspring.ctl

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import io.ktor.http.encodeURLParameter
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

internal class ConfigShow : CtlCommand("show", "Shows the base and the overlays in force.", "config show") {
    private val effective by option(help = "instead, show what is in force in this data centre", metavar = "DC")

    override fun run() {
        val path = effective?.let { "/config/effective?data_centre=${it.encodeURLParameter()}" } ?: "/config"
        show(session.daemon.get(path), ::prettyJson)
    }
}

internal class ConfigHistory : CtlCommand("history", "Lists the latest changes.", "config history --limit 5") {
    private val limit by option(help = "number of changes, 1 to 500").int().default(20)

    override fun run() =
        show(session.daemon.get("/config/history?limit=$limit")) {
            listTable(it as JsonArray, listOf("version", "accepted_at_ms", "author", "edits"))
        }
}

internal class ConfigWait :
    CtlCommand("wait", "Waits until the daemon has at least this version.", "config wait 42 --timeout-ms 15000") {
    private val version by argument().long()
    private val timeoutMs by option(help = "longest wait, up to 60000").int().default(15_000)

    override fun run() =
        show(session.daemon.get("/config/wait?version=$version&timeout_ms=$timeoutMs")) {
            "version ${(it as JsonObject).text("version")} is in force"
        }
}

internal class Usage : CtlCommand("usage", "Lists the usage windows and what was reported.", "usage") {
    private val window by option(help = "show the figures of this window")

    override fun run() {
        val one = window
        if (one != null) {
            show(session.daemon.get("/usage/windows/${one.encodeURLParameter()}"), ::prettyJson)
        } else {
            show(session.daemon.get("/usage/windows")) {
                listTable(it as JsonArray, listOf("window", "state", "epoch", "organisations", "completion_tokens"))
            }
        }
    }
}

internal class Status : CtlCommand("status", "Shows version, peers, leases and orders.", "status") {
    override fun run() = show(session.daemon.get("/status"), ::statusText)
}

internal class State : CtlCommand("state", "Dumps the daemon's state, without secrets.", "state") {
    override fun run() = show(session.daemon.get("/state"), ::prettyJson)
}

internal class Drain :
    CtlCommand("drain", "Makes this one daemon finish its work and leave.", "--daemon http://10.0.0.5:9400 drain") {
    override fun run() = show(session.daemon.post("/drain")) { "draining" }
}

private fun statusText(response: JsonElement): String =
    (response as JsonObject).entries.joinToString("\n") { (name, value) ->
        if (value is JsonArray && value.isNotEmpty()) {
            val rows = value.joinToString("\n") { "  ${cell("", it)}" }
            "$name:\n$rows"
        } else {
            "$name: ${cell(name, value)}"
        }
    }
