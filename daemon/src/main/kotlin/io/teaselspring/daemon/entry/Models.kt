/*
 * The models endpoint, which lists the models that callers can request.
 */
package io.teaselspring.daemon.entry

import io.teaselspring.core.config.UpstreamKind
import io.teaselspring.daemon.config.SiteView
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray

/** The response to `GET /v1/models`. */
internal fun SiteView.modelList(): String =
    buildJsonObject {
        put("object", "list")
        putJsonArray("data") {
            site.upstreams
                .filterValues { it.kind == UpstreamKind.MODEL_ENGINE }
                .flatMap { (name, upstream) -> upstream.models.map { it to name } }
                .distinctBy { it.first }
                .forEach { (model, upstream) ->
                    addJsonObject {
                        put("id", model.value)
                        put("object", "model")
                        put("owned_by", upstream.value)
                    }
                }
        }
    }.toString()
