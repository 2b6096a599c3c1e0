/*
 * Reads and validates settings. All errors of a file are reported together, each with the file, the JSON path, the
 * value found and what is allowed.
 */
package io.teaselspring.daemon.settings

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.ModelName
import io.teaselspring.core.UpstreamName
import io.teaselspring.protocol.Role
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.isReadable
import kotlin.io.path.readText

private const val ENTRY = "entry"
private const val AGENT = "agent"

@OptIn(ExperimentalSerializationApi::class)
private val json =
    Json {
        allowComments = true
        allowTrailingComma = true
    }

/** Reads the settings in [file], or returns every fault in it. Relative paths in it start at the file's directory. */
fun readSettings(file: Path): Either<NonEmptyList<SettingsError>, Settings> =
    try {
        when (val document = json.parseToJsonElement(file.readText())) {
            is JsonObject -> readSettings(file, document)
            else -> fault(file, "$", "something else", "a JSON object")
        }
    } catch (e: SerializationException) {
        fault(file, "$", e.message?.lineSequence()?.firstOrNull() ?: "invalid JSON", "JSON with comments")
    } catch (e: IOException) {
        fault(file, "$", e.toString(), "a readable file")
    }

private fun fault(
    file: Path,
    path: String,
    value: String,
    allowed: String,
) = NonEmptyList(SettingsError(file, path, value, allowed), emptyList()).left()

private fun readSettings(
    file: Path,
    document: JsonObject,
): Either<NonEmptyList<SettingsError>, Settings> {
    val errors = mutableListOf<SettingsError>()
    val reader = ObjectReader(file, "$", document, errors)
    val settings = reader.settings()
    return errors.toNonEmptyListOrNull()?.left() ?: settings.right()
}

private fun ObjectReader.settings(): Settings {
    val role =
        text("role", "\"$ENTRY\" or \"$AGENT\"", "") { it == ENTRY || it == AGENT }
            .let { if (it == AGENT) Role.AGENT else Role.ENTRY }
    val settings =
        Settings(
            role = role,
            instance = InstanceId(name("instance")),
            region = name("region"),
            dataCentre = DataCentre(name("data_centre")),
            addresses =
                SiteAddresses(
                    callers = if (role == Role.ENTRY) address("callers_address") else null,
                    operators = address("operators_address"),
                    internal = address("internal_address"),
                ),
            sharedSecretFile = readableFile("shared_secret_file"),
            operatorKeySha256 =
                text("operator_key_sha256", "64 lower-case hexadecimal digits", "") { it.matches(SHA256_HEX) },
            platformUrl = if (role == Role.ENTRY) url("platform_url") else optional("platform_url") { url(it) },
            seeds = texts("seeds", "a list of \"IP:port\"") { isAddress(it, anyPort = false) },
            limits = inner("limits") { requestLimits() } ?: RequestLimits(),
            isolationLimitMs = number("isolation_limit_ms", 1_000L..86_400_000L, 600_000),
            usageWindowMs = number("usage_window_ms", 10_000L..86_400_000L, 3_600_000),
            agent = if (role == Role.AGENT) agentSettings() else null,
            callersTls = if (role == Role.ENTRY) tlsFiles() else null,
        )
    refuseOthers()
    return settings
}

private fun ObjectReader.requestLimits(): RequestLimits {
    val standard = RequestLimits()
    return RequestLimits(
        headerBytes = number("header_bytes", 1_024L..1_048_576L, standard.headerBytes.toLong()).toInt(),
        // A body travels in one frame of at most 4 MiB together with the headers.
        bodyBytes = number("body_bytes", 1_024L..3_145_728L, standard.bodyBytes.toLong()).toInt(),
        connections = number("connections", 1L..100_000L, standard.connections.toLong()).toInt(),
        streamIdleMs = number("stream_idle_ms", 100L..3_600_000L, standard.streamIdleMs),
    ).also { refuseOthers() }
}

private fun ObjectReader.agentSettings(): AgentSettings =
    AgentSettings(
        upstream = UpstreamName(name("upstream")),
        upstreamUrl = url("upstream_url"),
        models = texts("models", "a list of model names") { it.isNotBlank() }.map(::ModelName),
        maxRunning = number("max_running", 1L..100_000L, 32).toInt(),
        maxQueued = number("max_queued", 0L..100_000L, 256).toInt(),
        leavingHeader = optional("leaving_header") { headerName(it) } ?: "X-Leaving",
    )

private fun ObjectReader.tlsFiles(): TlsFiles? {
    val certificate = optional("callers_tls_certificate_file") { readableFile(it) }
    val key = optional("callers_tls_key_file") { readableFile(it) }
    if ((certificate == null) != (key == null)) {
        val absent = if (key == null) "callers_tls_key_file" else "callers_tls_certificate_file"
        fault(absent, "nothing", "a file, because the other TLS file is given")
    }
    return if (certificate != null && key != null) TlsFiles(certificate, key) else null
}

private val SHA256_HEX = Regex("[0-9a-f]{64}")
private val HEADER_NAME = Regex("[A-Za-z0-9-]{1,100}")
private val NAME = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,99}")

private fun ObjectReader.name(field: String): String =
    text(field, "1 to 100 letters, digits, '.', '_' or '-'", "") { it.matches(NAME) }

private fun ObjectReader.headerName(field: String): String =
    text(field, "the name of a header: 1 to 100 letters, digits or '-'", "") { it.matches(HEADER_NAME) }

private fun ObjectReader.address(field: String): String =
    text(field, "\"IP:port\" with a literal IP address and a port from 0 to 65535", "0.0.0.0:0") { isAddress(it, true) }

private fun ObjectReader.url(field: String): String =
    text(field, "an http:// or https:// URL without a trailing slash", "") { isUrl(it) }

private fun ObjectReader.readableFile(field: String): Path {
    val directory = file.toAbsolutePath().parent
    return directory.resolve(text(field, "a readable file", "") { directory.resolve(it).isReadable() })
}
