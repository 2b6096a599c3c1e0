/*
 * Commands for organisations, keys, and the entities of the configuration document.
 */
package io.teaselspring.ctl

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import io.ktor.http.encodeURLParameter
import io.ktor.http.encodeURLPathPart
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject

private fun versionOf(response: JsonElement) = (response as JsonObject).text("version")

internal class OrgCreate :
    CtlCommand("create", "Creates an organisation.", "org create acme --weight 2 --requests-per-second 20") {
    private val name by argument(help = "1 to 63 of a-z, 0-9, '.', '_', '-'")
    private val weight by option(help = "share relative to other organisations, 1 to 1000").int().default(1)
    private val requestsPerSecond by option(help = "limit across all entries").double()
    private val maxConcurrent by option(help = "limit across all entries").int()

    override fun run() {
        val body =
            buildJsonObject {
                put("id", name)
                putJsonObject("organisation") {
                    put("weight", weight)
                    requestsPerSecond?.let { put("requests_per_second", it) }
                    maxConcurrent?.let { put("max_concurrent", it) }
                }
            }
        show(session.daemon.post("/organisations", body)) { "created $name in version ${versionOf(it)}" }
    }
}

internal class OrgList : CtlCommand("list", "Lists the organisations.", "org list") {
    override fun run() =
        show(session.daemon.get("/organisations")) {
            namedTable(it as JsonObject, listOf("weight", "requests_per_second", "max_concurrent"))
        }
}

internal class OrgDelete :
    CtlCommand("delete", "Deletes an organisation that has no active keys.", "org delete acme") {
    private val name by argument()

    override fun run() =
        show(session.daemon.delete("/organisations/${name.encodeURLPathPart()}")) {
            "deleted $name in version ${versionOf(it)}"
        }
}

internal class KeyCreate :
    CtlCommand("create", "Creates a key. The secret is shown this once only.", "key create --org acme") {
    private val org by option(help = "organisation that the key belongs to").required()

    override fun run() =
        show(session.daemon.post("/keys", buildJsonObject { put("organisation", org) })) {
            val response = it as JsonObject
            "key:    ${response.text(
                "id",
            )}\nsecret: ${response.text("secret")}\nThe secret is not stored and not shown again."
        }
}

internal class KeyWithdraw :
    CtlCommand("withdraw", "Withdraws a key at once, also from running requests.", "key withdraw k-0123456789abcdef") {
    private val id by argument()

    override fun run() =
        show(session.daemon.post("/keys/${id.encodeURLPathPart()}/withdraw")) {
            val isStored = (it as JsonObject).text("stored") == "true"
            if (isStored) "withdrew $id" else "withdrew $id; the store is unavailable, it is stored when that answers"
        }
}

internal class KeyList : CtlCommand("list", "Lists keys, without secrets.", "key list --org acme") {
    private val org by option(help = "only this organisation's keys")

    override fun run() {
        val query = org?.let { "?organisation=${it.encodeURLParameter()}" }.orEmpty()
        show(session.daemon.get("/keys$query")) {
            listTable(it as JsonArray, listOf("id", "organisation", "created_at_ms", "withdrawn_at_ms", "pending"))
        }
    }
}

/** Lists entities of the document, by default those of the daemon's own data centre. */
internal abstract class DocumentList(
    about: String,
    example: String,
    private val path: String,
    private val fields: List<String>,
) : CtlCommand("list", about, example) {
    private val dataCentre by option("--dc", help = "data centre, by default the daemon's own")

    override fun run() {
        val query = dataCentre?.let { "?data_centre=${it.encodeURLParameter()}" }.orEmpty()
        show(session.daemon.get("/$path$query")) { namedTable(it as JsonObject, fields) }
    }
}

internal class ClassList :
    DocumentList(
        "Lists the service classes.",
        "class list",
        "classes",
        listOf("tier", "first_token_target_ms", "between_tokens_target_ms", "completion_target_ms", "weight"),
    )

internal class UpstreamList :
    DocumentList(
        "Lists the upstreams of a data centre.",
        "upstream list --dc oviedo",
        "upstreams",
        listOf("kind", "models", "min_count", "max_count", "cost_per_hour", "hours"),
    )

internal class RouteList :
    DocumentList(
        "Lists the routes.",
        "route list",
        "routes",
        listOf("path_prefix", "upstream", "class", "open_to_all"),
    )
