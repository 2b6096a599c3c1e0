/*
 * Settings of one process, read once at start from a file of JSON with comments.
 */
package io.teaselspring.daemon.settings

import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.ModelName
import io.teaselspring.core.UpstreamName
import io.teaselspring.protocol.Role
import java.nio.file.Path

/**
 * Settings of one process. Addresses are "IP:port", where port 0 lets the system choose for a listener.
 * [usageWindowMs], the length of a usage window, must be the same in all processes.
 */
data class Settings(
    val role: Role,
    val instance: InstanceId,
    val region: String,
    val dataCentre: DataCentre,
    val addresses: SiteAddresses,
    val sharedSecretFile: Path,
    val operatorKeySha256: String,
    val platformUrl: String?,
    val seeds: List<String>,
    val limits: RequestLimits,
    val isolationLimitMs: Long,
    val agent: AgentSettings?,
    val callersTls: TlsFiles?,
    val usageWindowMs: Long = 3_600_000,
)

/** Addresses that this process listens on; [callers] is present for entries only. */
data class SiteAddresses(
    val callers: String?,
    val operators: String,
    val internal: String,
)

/**
 * Limits on callers' requests. [headerBytes] and [bodyBytes] bound one request, [connections] all of a listener, and
 * [streamIdleMs] the time that a caller may take no data while some is ready, or an upstream may send none.
 */
data class RequestLimits(
    val headerBytes: Int = 32 * 1024,
    val bodyBytes: Int = 1024 * 1024,
    val connections: Int = 4096,
    val streamIdleMs: Long = 60_000,
)

/**
 * The upstream beside an agent. [models] is empty for a plain service. A response with [leavingHeader] says that the
 * process is about to exit.
 */
data class AgentSettings(
    val upstream: UpstreamName,
    val upstreamUrl: String,
    val models: List<ModelName>,
    val maxRunning: Int,
    val maxQueued: Int,
    val leavingHeader: String = "X-Leaving",
)

/** PEM files for TLS towards callers. */
data class TlsFiles(
    val certificateFile: Path,
    val keyFile: Path,
)

/** One fault in a settings file. [path] is a JSON path such as `$.limits.body_bytes`. */
data class SettingsError(
    val file: Path,
    val path: String,
    val value: String,
    val allowed: String,
) {
    override fun toString(): String = "$file: $path: found $value, allowed is $allowed"
}
