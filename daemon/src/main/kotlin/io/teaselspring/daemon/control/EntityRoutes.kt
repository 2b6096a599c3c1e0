/*
 * Operators' routes for organisations, keys and the entities of the configuration document.
 */
package io.teaselspring.daemon.control

import arrow.core.left
import arrow.core.right
import io.ktor.http.HttpStatusCode
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.teaselspring.core.DataCentre
import io.teaselspring.core.KeyId
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.config.ConfigEdit
import io.teaselspring.core.config.Organisation
import io.teaselspring.core.config.SiteConfig
import io.teaselspring.core.config.siteConfig
import io.teaselspring.daemon.config.ChangeRefusal
import io.teaselspring.daemon.config.ConfigAcceptor
import io.teaselspring.daemon.config.ConfigHolder
import io.teaselspring.daemon.keys.KeyService
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A new organisation. */
@Serializable
data class CreateOrganisation(
    val id: OrganisationId,
    val organisation: Organisation = Organisation(),
)

/** Asks for a new key of [organisation]. */
@Serializable
data class CreateKey(
    val organisation: OrganisationId,
)

/** A new key; the only answer that ever contains a secret. */
@Serializable
data class CreatedKeyResponse(
    val id: KeyId,
    val secret: String,
    val version: Long,
)

/** A withdrawn key. When it is not [stored] yet, it is in effect and is stored when the store answers. */
@Serializable
data class WithdrawnKeyResponse(
    val id: KeyId,
    val stored: Boolean,
    val version: Long?,
)

/** A key without the hash of its secret. */
@Serializable
data class KeyEntry(
    val id: KeyId,
    val organisation: OrganisationId,
    @SerialName("created_at_ms") val createdAtMs: Long,
    @SerialName("withdrawn_at_ms") val withdrawnAtMs: Long? = null,
    val pending: Boolean = false,
)

internal fun Route.organisationRoutes(
    holder: ConfigHolder,
    acceptor: ConfigAcceptor,
) {
    get("/organisations") { call.respondJson(holder.state.organisations) }
    post("/organisations") {
        val request = call.receiveJson<CreateOrganisation>() ?: return@post
        acceptor
            .accept(call.author(), basedOn = null) { state ->
                if (request.id in state.organisations) {
                    ChangeRefusal.NoSuch("organisation ${request.id} exists already").left()
                } else {
                    listOf(ConfigEdit.PutOrganisation(request.id, request.organisation)).right()
                }
            }.fold(
                { call.respondRefusal(it) },
                { call.respondJson(VersionResponse(it.version), HttpStatusCode.Created) },
            )
    }
    delete("/organisations/{id}") {
        val id = OrganisationId(call.parameters["id"].orEmpty())
        acceptor
            .accept(call.author(), basedOn = null) { state ->
                if (id in state.organisations) {
                    listOf(ConfigEdit.PutOrganisation(id, null)).right()
                } else {
                    ChangeRefusal.NoSuch("there is no organisation $id").left()
                }
            }.fold({ call.respondRefusal(it) }, { call.respondJson(VersionResponse(it.version)) })
    }
}

internal fun Route.keyRoutes(
    holder: ConfigHolder,
    keys: KeyService,
) {
    get("/keys") { listKeys(holder) }
    post("/keys") {
        val request = call.receiveJson<CreateKey>() ?: return@post
        keys.create(call.author(), request.organisation).fold(
            { call.respondRefusal(it) },
            { call.respondJson(CreatedKeyResponse(it.id, it.secret, it.version), HttpStatusCode.Created) },
        )
    }
    post("/keys/{id}/withdraw") {
        keys.withdraw(call.author(), KeyId(call.parameters["id"].orEmpty())).fold(
            { call.respondRefusal(it) },
            {
                val status = if (it.storedVersion == null) HttpStatusCode.Accepted else HttpStatusCode.OK
                call.respondJson(WithdrawnKeyResponse(it.id, it.storedVersion != null, it.storedVersion), status)
            },
        )
    }
}

private suspend fun RoutingContext.listKeys(holder: ConfigHolder) {
    val organisation = call.request.queryParameters["organisation"]
    val pending = holder.pending()
    val entries =
        holder.state.keys
            .filterValues { organisation == null || it.organisation.value == organisation }
            .map { (id, key) -> KeyEntry(id, key.organisation, key.createdAtMs, key.withdrawnAtMs, id in pending) }
    call.respondJson(entries)
}

/** Classes, upstreams and routes in force in the data centre of the query, by default the daemon's own. */
internal fun Route.documentRoutes(holder: ConfigHolder) {
    get("/classes") { call.respondJson(site(holder).classes) }
    get("/upstreams") { call.respondJson(site(holder).upstreams) }
    get("/routes") { call.respondJson(site(holder).routes) }
}

private fun RoutingContext.site(holder: ConfigHolder): SiteConfig {
    val name = call.request.queryParameters["data_centre"] ?: return holder.view.value.site
    return holder.state.siteConfig(DataCentre(name))
}
