/*
 * The check of configuration files before they are submitted. It reads files and what is in force, and changes nothing.
 */
package io.teaselspring.ctl

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import io.teaselspring.core.DataCentre
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.config.ConfigFinding
import io.teaselspring.core.config.ConfigState
import io.teaselspring.core.config.EntryDifference
import io.teaselspring.core.config.KeyStatus
import io.teaselspring.core.config.NamedDocument
import io.teaselspring.core.config.Severity
import io.teaselspring.core.config.checkConfiguration
import io.teaselspring.core.config.checkOrganisations
import io.teaselspring.core.config.differencesTo
import io.teaselspring.core.config.finding
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement

/** The exit codes of the check, which take precedence over those of [ExitCode]. */
internal const val CHECK_EXIT_CODES: String = "0 nothing found, 1 warnings only, 2 errors"

private val json =
    Json {
        encodeDefaults = true
        ignoreUnknownKeys = true
    }

/**
 * The result of a check. If [version], the one in force, is null, [unknownBecause] says why it is not known, and there
 * are no [differences].
 */
@Serializable
internal data class CheckReport(
    val findings: List<ConfigFinding>,
    @SerialName("version_in_force") val version: Long?,
    @SerialName("version_unknown_because") val unknownBecause: String?,
    val differences: List<EntryDifference>,
)

/** What a daemon says is in force. */
private class InForce(
    val state: ConfigState,
    val organisations: Set<OrganisationId>,
    val keys: List<KeyStatus>,
)

internal class ConfigCheck :
    CtlCommand(
        "check",
        "Reports errors in files, settings without effect, contradictions and differences from what is in force. " +
            "With a daemon, the overlays in force that are not given are included. Exit codes: $CHECK_EXIT_CODES.",
        "config check --base base.jsonc --overlay oviedo=oviedo.jsonc",
    ) {
    private val base by option(help = "file of the base", metavar = "FILE").path().required()
    private val overlay by overlayOption()
    private val asJson by option("--json", help = "print JSON, like --output json").flag()

    override fun run() {
        overlay.groupBy { it.first }.values.firstOrNull { it.size > 1 }?.let { same ->
            fail(ExitCode.INVALID_INPUT, "--overlay: found two files for ${same.first().first}, allowed is one")
        }
        val report = check()
        val text = json.encodeToJsonElement(report)
        echo(if (asJson) prettyJson(text) else session.render(text) { report.text() })
        val worst = report.findings.minOfOrNull { it.severity }
        if (worst != null) throw ProgramResult(if (worst == Severity.ERROR) 2 else 1)
    }

    private fun check(): CheckReport {
        val newBase = readDocument(base)
        val newOverlays = overlay.map { (dataCentre, file) -> DataCentre(dataCentre) to readDocument(file) }
        val unreadable = (listOf(newBase) + newOverlays.map { it.second }).mapNotNull { it.leftOrNull()?.finding() }
        val base = newBase.getOrNull()
        if (base == null || unreadable.isNotEmpty()) {
            return CheckReport(unreadable, null, "it was not asked for, because a file cannot be read", emptyList())
        }
        val given = newOverlays.mapNotNull { (dataCentre, it) -> it.getOrNull()?.let { dataCentre to it } }.toMap()
        return inForce().fold({ CheckReport(checkConfiguration(base, given), null, it, emptyList()) }) { current ->
            val kept =
                (current.state.overlays - given.keys).mapValues { (dataCentre, document) ->
                    NamedDocument("the overlay $dataCentre in force", document)
                }
            val overlays = kept + given
            val after = current.state.copy(base = base.document, overlays = overlays.mapValues { it.value.document })
            val findings = checkConfiguration(base, overlays) + checkOrganisations(current.organisations, current.keys)
            CheckReport(findings, current.state.version, null, current.state.differencesTo(after))
        }
    }

    /** What is in force, or why that is not known; a daemon that does not answer is no finding about the files. */
    private fun inForce(): Either<String, InForce> {
        if (!session.hasDaemon) return "no daemon is configured".left()
        val daemon = session.daemon
        return try {
            InForce(
                json.decodeFromJsonElement(daemon.get("/config")),
                json.decodeFromJsonElement<Map<OrganisationId, JsonElement>>(daemon.get("/organisations")).keys,
                json.decodeFromJsonElement(daemon.get("/keys")),
            ).right()
        } catch (e: CliktError) {
            val isUnreachable = e.statusCode == ExitCode.DAEMON_UNREACHABLE.code
            "${if (isUnreachable) "no daemon is reachable" else "the daemon refused"}: ${e.message}".left()
        } catch (e: SerializationException) {
            "the daemon's answer is not a configuration: ${e.message?.lineSequence()?.first()}".left()
        }
    }
}

private fun CheckReport.text(): String {
    val errorCount = findings.count { it.severity == Severity.ERROR }
    val summary = "errors: $errorCount, warnings: ${findings.size - errorCount}"
    val comparison =
        when {
            version == null -> "no comparison with the version in force: $unknownBecause"
            differences.isEmpty() -> "no differences from version $version, which is in force"
            else -> "differences from version $version, which is in force:"
        }
    return (findings.map { "$it" } + summary + comparison + differences.flatMap { it.textLines() }).joinToString("\n")
}

private fun EntryDifference.textLines(): List<String> {
    val places =
        dataCentres.map { it.value } + listOfNotNull("data centres without an overlay".takeIf { withoutOverlay })
    return listOf("${change.name.lowercase()} $entry in ${places.joinToString()}") + lines.map { "  $it" }
}
