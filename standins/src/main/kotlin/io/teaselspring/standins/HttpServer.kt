/*
 * The HTTP server shared by the stand-ins: JSON in and out, an error body for unreadable requests, and the means to
 * end a connection without a response.
 */
package io.teaselspring.standins

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationCall
import io.ktor.server.netty.NettyApplicationEngine
import io.ktor.server.plugins.BadRequestException
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.RoutingPipelineCall
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlin.random.Random

internal val json: Json = Json { encodeDefaults = true }

/** A running server and the port the system chose for it. */
internal class RunningServer(
    private val server: EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration>,
    val port: Int,
) {
    fun stop() = server.stop(gracePeriodMillis = 0, timeoutMillis = 100)
}

/** Serves [module] on [host] and [port]; port 0 leaves the choice to the system. Responses [stutter]. */
internal suspend fun startServer(
    host: String,
    port: Int,
    stutter: Stutter = Stutter(),
    module: Application.() -> Unit,
): RunningServer {
    val random = Random(stutter.seed)
    val server =
        embeddedServer(
            Netty,
            configure = {
                connector {
                    this.host = host
                    this.port = port
                }
                // Small, because a test runs dozens of these processes.
                connectionGroupSize = 1
                workerGroupSize = 1
                callGroupSize = 2
                shutdownGracePeriod = 0
                shutdownTimeout = 100
                channelPipelineConfig = { if (stutter.share > 0) addFirst(StutterHandler(stutter.share, random)) }
            },
        ) {
            answerBadRequests()
            module()
        }
    server.startSuspend(wait = false)
    return RunningServer(
        server,
        server.engine
            .resolvedConnectors()
            .first()
            .port,
    )
}

private fun Application.answerBadRequests() =
    intercept(ApplicationCallPipeline.Plugins) {
        try {
            proceed()
        } catch (e: BadRequestException) {
            call.respond(error(HttpStatusCode.BadRequest, e.message ?: "bad request"))
        }
    }

/** A response; [version] becomes its `ETag`. */
internal data class Reply(
    val status: HttpStatusCode,
    val body: JsonElement? = null,
    val version: Long? = null,
)

internal fun error(
    status: HttpStatusCode,
    message: String,
): Reply = Reply(status, buildJsonObject { put("error", buildJsonObject { put("message", message) }) })

internal suspend fun ApplicationCall.respond(reply: Reply) {
    reply.version?.let { response.header(HttpHeaders.ETag, "\"$it\"") }
    val body = reply.body
    if (body == null) {
        respondText("", status = reply.status)
    } else {
        respondText(body.toString(), ContentType.Application.Json, reply.status)
    }
}

/** The body as [T]. Unknown fields are refused, so that a misspelt fault does not go unnoticed. */
internal suspend inline fun <reified T> ApplicationCall.receiveJson(decoder: Json = json): T =
    try {
        decoder.decodeFromString<T>(receiveText())
    } catch (e: SerializationException) {
        throw BadRequestException(e.message ?: "unreadable body", e)
    }

private val ApplicationCall.connection: Channel
    get() {
        val call = (this as? RoutingCall)?.pipelineCall ?: this
        return ((call as? RoutingPipelineCall)?.engineCall ?: call).let {
            (it as NettyApplicationCall).context.channel()
        }
    }

/** Ends the caller's connection at once, whatever has been sent so far. Does not return. */
internal suspend fun ApplicationCall.cutConnection(): Nothing {
    connection.close()
    awaitCancellation()
}

/** Runs [block], and cancels it when the caller closes the connection, also if that was before this call. */
internal suspend fun ApplicationCall.whileConnected(block: suspend () -> Unit): Unit =
    coroutineScope {
        val running = launch { block() }
        val onClose = ChannelFutureListener { running.cancel() }
        connection.closeFuture().addListener(onClose)
        // A connection serves many calls; listeners of past ones would pile up.
        running.invokeOnCompletion { connection.closeFuture().removeListener(onClose) }
    }
