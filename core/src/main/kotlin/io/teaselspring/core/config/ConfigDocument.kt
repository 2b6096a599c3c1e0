/*
 * The data model of the configuration. The base holds the settings common to all data centres; an overlay per data
 * centre is a JSON Merge Patch (RFC 7396) over the base. Organisations and keys are separate entities, because they
 * change far more often than the documents and there may be tens of thousands of them.
 */
package io.teaselspring.core.config

import io.teaselspring.core.ClassName
import io.teaselspring.core.DataCentre
import io.teaselspring.core.KeyId
import io.teaselspring.core.ModelName
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.UpstreamName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

/**
 * A class of requests with its own latency targets.
 *
 * [tier] 1 has the highest priority. Targets are in milliseconds; a null target does not apply to the class. [weight]
 * divides capacity between the classes of one tier.
 */
@Serializable
public data class ServiceClass(
    val tier: Int,
    @SerialName("first_token_target_ms") val firstTokenTargetMs: Long,
    @SerialName("between_tokens_target_ms") val betweenTokensTargetMs: Long? = null,
    @SerialName("completion_target_ms") val completionTargetMs: Long? = null,
    val weight: Int = 1,
)

/** Whether an upstream is a language-model engine or another HTTP service. */
@Serializable
public enum class UpstreamKind {
    @SerialName("model_engine")
    MODEL_ENGINE,

    @SerialName("plain_service")
    PLAIN_SERVICE,
}

/** Opening hours of an upstream in one data centre, in UTC hours of the day; [fromHour] may be later than [toHour]. */
@Serializable
public data class OpenHours(
    @SerialName("from_hour") val fromHour: Int,
    @SerialName("to_hour") val toHour: Int,
)

/**
 * An upstream that a data centre may run.
 *
 * [minCount] and [maxCount] bound the number of instances in one data centre. [costPerHour] is the price of one running
 * instance in the operator's currency. With [checksEpoch] the receiver of orders itself rejects a stale
 * epoch (fencing token).
 */
@Serializable
public data class Upstream(
    val kind: UpstreamKind,
    val models: List<ModelName> = emptyList(),
    @SerialName("min_count") val minCount: Int = 0,
    @SerialName("max_count") val maxCount: Int = 1,
    @SerialName("cost_per_hour") val costPerHour: Double = 0.0,
    @SerialName("checks_epoch") val checksEpoch: Boolean = false,
    val hours: OpenHours? = null,
)

/** The methods that RFC 9110 defines as idempotent, without CONNECT and TRACE. */
public val RFC_IDEMPOTENT_METHODS: List<String> = listOf("GET", "HEAD", "OPTIONS", "PUT", "DELETE")

/**
 * Maps a path prefix to an upstream. Requests on a route with [openToAll] need no key. Requests whose method is not
 * listed in [idempotentMethods] run at most once.
 */
@Serializable
public data class Route(
    @SerialName("path_prefix") val pathPrefix: String,
    val upstream: UpstreamName,
    @SerialName("class") val serviceClass: ClassName,
    @SerialName("open_to_all") val openToAll: Boolean = false,
    @SerialName("idempotent_methods") val idempotentMethods: List<String> =
        listOf("GET", "HEAD", "OPTIONS", "PUT", "DELETE"),
)

/** Limits on automatic actions. [maxOrderStep] is the largest change of an instance count by one scaling order. */
@Serializable
public data class Limits(
    @SerialName("max_order_step") val maxOrderStep: Int = 4,
)

/** The configuration in force in one data centre: the base with the overlay applied. */
@Serializable
public data class SiteConfig(
    val classes: Map<ClassName, ServiceClass> = emptyMap(),
    val upstreams: Map<UpstreamName, Upstream> = emptyMap(),
    val routes: Map<String, Route> = emptyMap(),
    val limits: Limits = Limits(),
)

/**
 * An organisation. [weight] is its share relative to the others of its class. The limits apply to all entries
 * together; null means no limit.
 */
@Serializable
public data class Organisation(
    val weight: Int = 1,
    @SerialName("requests_per_second") val requestsPerSecond: Double? = null,
    @SerialName("max_concurrent") val maxConcurrent: Int? = null,
)

/** An API key. Only the SHA-256 of the secret is stored, as 64 hexadecimal digits. */
@Serializable
public data class ApiKey(
    val organisation: OrganisationId,
    @SerialName("secret_sha256") val secretSha256: String,
    @SerialName("created_at_ms") val createdAtMs: Long,
    @SerialName("withdrawn_at_ms") val withdrawnAtMs: Long? = null,
)

/** The whole configuration at one version. Version 0 is the empty configuration. */
@Serializable
public data class ConfigState(
    val version: Long = 0,
    val base: JsonObject = JsonObject(emptyMap()),
    val overlays: Map<DataCentre, JsonObject> = emptyMap(),
    val organisations: Map<OrganisationId, Organisation> = emptyMap(),
    val keys: Map<KeyId, ApiKey> = emptyMap(),
)
