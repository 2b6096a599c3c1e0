/*
 * Command line entry point and the options that all commands share.
 */
package io.teaselspring.ctl

import com.github.ajalt.clikt.completion.CompletionCommand
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.obj
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.requireObject
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.serialization.json.JsonElement
import kotlin.system.exitProcess

/** What every command gets: the daemon to talk to, and how to print. */
class Session(
    private val daemonOption: String?,
    private val key: () -> String?,
    private val json: Boolean,
) {
    /** Whether the options name a daemon. */
    val hasDaemon: Boolean = daemonOption != null

    /** The daemon named by the options; a command that needs none never asks. */
    val daemon: DaemonClient by lazy {
        val url =
            daemonOption ?: fail(ExitCode.INVALID_INPUT, "no daemon: give --daemon URL or set TEASELSPRING_DAEMON")
        DaemonClient(daemonUrl(url), key(), System.getProperty("user.name") ?: "operator")
    }

    /** [response] as JSON, or [text] of it. */
    fun render(
        response: JsonElement,
        text: (JsonElement) -> String,
    ): String = if (json) prettyJson(response) else text(response)
}

/** A command of the program, with an example for its help. */
abstract class CtlCommand(
    name: String,
    private val about: String,
    private val example: String,
) : CliktCommand(name) {
    protected val session: Session by requireObject()

    override fun help(context: Context): String = "$about\n\nExample: `teaselspringctl $example`"

    /** Prints [response] as the options ask. */
    protected fun show(
        response: JsonElement,
        text: (JsonElement) -> String,
    ) = echo(session.render(response, text))
}

/** A command that only groups others. */
class Group(
    name: String,
    private val about: String,
) : CliktCommand(name) {
    override fun help(context: Context): String = about

    override fun run() = Unit
}

private class Teaselspringctl : CliktCommand("teaselspringctl") {
    private val daemon by option(
        help = "URL of a daemon's operators' listener",
        envvar = "TEASELSPRING_DAEMON",
        metavar = "URL",
    )
    private val operatorKeyFile by option(
        help = "file with the operator's key",
        envvar = "TEASELSPRING_OPERATOR_KEY_FILE",
    ).path()
    private val output by option(help = "text or json").choice("text", "json").default("text")

    override fun help(context: Context): String = "Manages a teaselspring installation through any of its entries."

    override fun helpEpilog(context: Context): String =
        "Exit codes: " + ExitCode.entries.joinToString { "${it.code} ${it.meaning}" } +
            "; of `config check` $CHECK_EXIT_CODES." +
            "\n\nShell completion: `source <(teaselspringctl completion bash)`"

    override fun run() {
        val keyFile = operatorKeyFile
        currentContext.obj = Session(daemon, { keyFile?.let(::readOperatorKey) }, output == "json")
    }
}

private fun program(): CliktCommand =
    Teaselspringctl().subcommands(
        Group("org", "Organisations.").subcommands(OrgCreate(), OrgList(), OrgDelete()),
        Group("key", "API keys of organisations.").subcommands(KeyCreate(), KeyWithdraw(), KeyList()),
        Group("class", "Service classes.").subcommands(ClassList()),
        Group("upstream", "Upstreams.").subcommands(UpstreamList()),
        Group("route", "Routes.").subcommands(RouteList()),
        Apply(),
        Diff(),
        Group("config", "The configuration and its versions.")
            .subcommands(ConfigCheck(), ConfigShow(), ConfigHistory(), ConfigWait()),
        Usage(),
        Status(),
        State(),
        Drain(),
        CompletionCommand(name = "completion"),
    )

/** Runs the program with [args] and returns the exit code. */
internal fun runProgram(args: List<String>): Int {
    val command = program()
    return try {
        command.parse(args)
        ExitCode.DONE.code
    } catch (e: UsageError) {
        command.echoFormattedHelp(e)
        ExitCode.INVALID_INPUT.code
    } catch (e: CliktError) {
        command.echoFormattedHelp(e)
        e.statusCode
    }
}

/** Starts the program. */
fun main(args: Array<String>) {
    exitProcess(runProgram(args.toList()))
}
