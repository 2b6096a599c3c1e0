/*
 * A configuration read once from a file, for a process that runs without a store.
 */
package io.teaselspring.daemon.config

import io.teaselspring.core.KeyId
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.config.ApiKey
import io.teaselspring.core.config.Organisation
import io.teaselspring.core.config.SiteConfig
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.emptyFlow
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.nio.file.Path
import java.security.MessageDigest
import java.util.HexFormat
import kotlin.io.path.readText

@Serializable
private data class StaticConfig(
    val site: SiteConfig,
    val organisations: Map<OrganisationId, Organisation> = emptyMap(),
    val keys: Map<KeyId, ApiKey> = emptyMap(),
)

@OptIn(ExperimentalSerializationApi::class)
private val json = Json { allowComments = true }

/**
 * The configuration in [file], which never changes.
 *
 * @throws java.io.IOException if the file cannot be read.
 * @throws kotlinx.serialization.SerializationException if it is not a configuration.
 */
fun staticConfigSource(file: Path): ConfigSource {
    val config = json.decodeFromString<StaticConfig>(file.readText())
    val callers =
        config.keys
            .filterValues { it.withdrawnAtMs == null }
            .map { (id, key) -> key.secretSha256 to Caller(id, key.organisation) }
            .toMap()
    return object : ConfigSource {
        override val view: StateFlow<SiteView> = MutableStateFlow(SiteView(1, config.site, config.organisations))
        override val withdrawals: Flow<Set<KeyId>> = emptyFlow()

        override fun withdrawnKeys(): Set<KeyId> = config.keys.filterValues { it.withdrawnAtMs != null }.keys

        override fun authenticate(secret: String): Caller? = callers[sha256Hex(secret)]

        override fun mayServe(): Boolean = true
    }
}

/** The SHA-256 of [text] as 64 lower-case hexadecimal digits. */
internal fun sha256Hex(text: String): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()))
