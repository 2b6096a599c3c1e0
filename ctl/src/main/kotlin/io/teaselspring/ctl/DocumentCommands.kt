/*
 * Commands that apply or compare configuration files. The files are validated here before anything is sent.
 */
package io.teaselspring.ctl

import arrow.core.Either
import arrow.core.left
import com.github.ajalt.clikt.core.ParameterHolder
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import io.teaselspring.core.DataCentre
import io.teaselspring.core.config.ConfigProblem
import io.teaselspring.core.config.NamedDocument
import io.teaselspring.core.config.parseDocument
import io.teaselspring.core.config.validateDocuments
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.Path
import kotlin.io.path.readText

/** A command on a base and overlays in files, together with those in force that are not given. */
internal abstract class FilesCommand(
    name: String,
    about: String,
    example: String,
) : CtlCommand(name, about, example) {
    private val base by option(help = "file of the base", metavar = "FILE").path()
    private val overlay by overlayOption()
    private val removeOverlay by option(help = "data centre whose overlay is deleted", metavar = "DC").multiple()
    private val basedOn by option(help = "version that the files are based on, by default the one in force").long()

    /** The request body for the daemon, after validation of the files over what is in force. */
    protected fun request(): JsonObject {
        val newBase = base?.let(::read)
        val newOverlays = overlay.associate { (dataCentre, file) -> dataCentre to read(file) }
        if (newBase == null && newOverlays.isEmpty() && removeOverlay.isEmpty()) {
            fail(ExitCode.INVALID_INPUT, "nothing given, allowed is --base, --overlay or --remove-overlay")
        }
        // Faults of a whole set of files show without a daemon.
        newBase?.let { validate(it, newOverlays) }
        val current = session.daemon.get("/config") as JsonObject
        val kept = current["overlays"].members() - newOverlays.keys - removeOverlay.toSet()
        validate(
            newBase ?: NamedDocument("the base in force", current["base"] as? JsonObject ?: JsonObject(emptyMap())),
            kept.mapValues { NamedDocument("the overlay ${it.key} in force", it.value as JsonObject) } + newOverlays,
        )
        val overlays = newOverlays.mapValues { it.value.document } + removeOverlay.associateWith { JsonNull }
        return buildJsonObject {
            put("based_on", basedOn?.let { JsonPrimitive(it) } ?: current.getValue("version"))
            newBase?.let { put("base", it.document) }
            put("overlays", JsonObject(overlays))
        }
    }

    private fun validate(
        base: NamedDocument,
        overlays: Map<String, NamedDocument>,
    ) {
        val problems = validateDocuments(base, overlays.mapKeys { DataCentre(it.key) })
        if (problems.isNotEmpty()) fail(ExitCode.INVALID_INPUT, problems.joinToString("\n"))
    }

    private fun read(file: Path): NamedDocument =
        readDocument(file).fold({ fail(ExitCode.INVALID_INPUT, "$it") }, { it })
}

/** The option for the files of overlays, by data centre. */
internal fun ParameterHolder.overlayOption() =
    option(
        "--overlay",
        help = "file of a data centre's overlay; may be given several times",
        metavar = "DC=FILE",
    ).convert { text ->
        val (dataCentre, file) = text.split('=', limit = 2).takeIf { it.size == 2 } ?: fail("expected DC=FILE")
        dataCentre to Path(file)
    }.multiple()

/** The document in [file], or why it cannot be read. */
internal fun readDocument(file: Path): Either<ConfigProblem, NamedDocument> =
    try {
        parseDocument(file.toString(), file.readText())
    } catch (e: IOException) {
        ConfigProblem(file.toString(), "$", "a file that cannot be read ($e)", "JSON with comments").left()
    }

internal class Apply :
    FilesCommand(
        "apply",
        "Applies a base and overlays; what is not given stays as it is. A change that came first is a conflict.",
        "apply --base base.jsonc --overlay oviedo=oviedo.jsonc",
    ) {
    override fun run() =
        show(session.daemon.post("/config/apply", request())) {
            "applied as version ${(it as JsonObject).text("version")}"
        }
}

internal class Diff :
    FilesCommand(
        "diff",
        "Shows what applying the files would change.",
        "diff --base base.jsonc --overlay oviedo=oviedo.jsonc",
    ) {
    override fun run() =
        show(session.daemon.post("/config/diff", request())) { response ->
            val lines = ((response as JsonObject)["lines"] as? JsonArray).orEmpty()
            lines.joinToString("\n") { (it as JsonPrimitive).content }.ifEmpty { "no differences" }
        }
}

private fun JsonElement?.members(): Map<String, JsonElement> = (this as? JsonObject) ?: emptyMap()
