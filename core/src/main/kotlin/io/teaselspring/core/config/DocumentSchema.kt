/*
 * The schema of a configuration document with its overlay applied, and the referential checks between its parts.
 */
package io.teaselspring.core.config

import io.teaselspring.core.UpstreamName
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.decodeFromJsonElement

private const val MAX_TARGET_MS = 3_600_000L
private const val MAX_COUNT = 10_000L
private val HOUR = integer(0L..24L)
private val METHOD = text("an HTTP method in capital letters") { it.matches(Regex("[A-Z]{1,20}")) }

private val serviceClass =
    fields(
        "tier" to integer(1L..7L),
        "first_token_target_ms" to milliseconds(1L..MAX_TARGET_MS),
        "between_tokens_target_ms" to optional(milliseconds(1L..MAX_TARGET_MS)),
        "completion_target_ms" to optional(milliseconds(1L..MAX_TARGET_MS)),
        "weight" to optional(integer(1L..1000L)),
    )

private val upstream =
    fields(
        "kind" to oneOf("model_engine", "plain_service"),
        "models" to optional(listOf(text("a model name without spaces") { it.matches(Regex("\\S{1,200}")) })),
        "min_count" to optional(integer(0L..MAX_COUNT)),
        "max_count" to optional(integer(1L..MAX_COUNT)),
        "cost_per_hour" to optional(decimal(0.0..1e9)),
        "checks_epoch" to optional(boolean),
        "hours" to optional(fields("from_hour" to HOUR, "to_hour" to HOUR)),
    )

private val route =
    fields(
        "path_prefix" to text("a path that starts with \"/\"") { it.matches(Regex("/\\S{0,500}")) },
        "upstream" to text("the name of an upstream", ENTITY_NAME::matches),
        "class" to text("the name of a class", ENTITY_NAME::matches),
        "open_to_all" to optional(boolean),
        "idempotent_methods" to optional(listOf(METHOD)),
    )

private val limits =
    fields(
        "max_order_step" to optional(integer(1L..MAX_COUNT)),
    )

private val document =
    fields(
        "classes" to optional(mapOfNamed(serviceClass)),
        "upstreams" to optional(mapOfNamed(upstream)),
        "routes" to optional(mapOfNamed(route)),
        "limits" to optional(limits),
    )

/** Top-level fields of a base or an overlay. */
internal val DOCUMENT_FIELDS: Set<String> = setOf("classes", "upstreams", "routes", "limits")

private val json =
    Json {
        // Null means "absent", as in a merge patch.
        explicitNulls = false
        coerceInputValues = true
        // Forward compatibility: a newer version may have accepted fields that this one does not know. checkDocument
        // reports them.
        ignoreUnknownKeys = true
    }

/** Decodes a document that [checkDocument] accepts; fields that this version does not know are ignored. */
internal fun decodeSite(document: JsonObject): SiteConfig = json.decodeFromJsonElement(document)

/** Reports all errors of [value], a document with the overlay applied. */
internal fun checkDocument(
    value: JsonObject,
    report: ReportError,
) {
    var errorCount = 0
    document("$", value) { path, found, allowed ->
        errorCount += 1
        report(path, found, allowed)
    }
    // References can be checked only in a document that matches the schema.
    if (errorCount == 0) checkReferences(decodeSite(value), report)
}

private fun checkReferences(
    site: SiteConfig,
    report: ReportError,
) {
    site.upstreams.forEach { (name, upstream) -> checkUpstream(name, upstream, report) }
    site.routes.forEach { (name, route) ->
        if (route.upstream !in site.upstreams) {
            report("$.routes.$name.upstream", "\"${route.upstream}\"", oneOfNames("an upstream", site.upstreams.keys))
        }
        if (route.serviceClass !in site.classes) {
            report("$.routes.$name.class", "\"${route.serviceClass}\"", oneOfNames("a class", site.classes.keys))
        }
    }
    site.routes.entries.groupBy { it.value.pathPrefix }.values.filter { it.size > 1 }.forEach { same ->
        val (name, route) = same.last()
        val other = same.first().key
        report("$.routes.$name.path_prefix", "\"${route.pathPrefix}\"", "a prefix other than that of route $other")
    }
}

private fun checkUpstream(
    name: UpstreamName,
    upstream: Upstream,
    report: ReportError,
) {
    val path = "$.upstreams.$name"
    if (upstream.minCount > upstream.maxCount) {
        report("$path.min_count", "${upstream.minCount}", "at most max_count, which is ${upstream.maxCount}")
    }
    if (upstream.kind == UpstreamKind.MODEL_ENGINE && upstream.models.isEmpty()) {
        report("$path.models", "nothing", "at least one model for a model_engine")
    }
    if (upstream.kind == UpstreamKind.PLAIN_SERVICE && upstream.models.isNotEmpty()) {
        report("$path.models", "${upstream.models}", "nothing for a plain_service")
    }
    if (upstream.hours?.let { it.fromHour == it.toHour } == true) {
        report("$path.hours", "from_hour equal to to_hour", "different hours, or no hours for always open")
    }
}

private fun oneOfNames(
    what: String,
    known: Set<Any>,
) = if (known.isEmpty()) "$what that is defined; none is" else "$what: ${known.joinToString()}"
