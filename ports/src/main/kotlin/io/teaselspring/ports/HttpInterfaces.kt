/*
 * HTTP implementations of the platform interfaces on top of [HttpCalls]: paths, conditional request headers, status
 * codes and JSON bodies.
 */
package io.teaselspring.ports

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.setBody
import io.ktor.http.HttpMethod
import io.ktor.http.encodeURLParameter
import io.ktor.http.encodeURLPathPart
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

private val json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
    }

@Serializable
private class TransactionRequest(
    val writes: List<TableWrite>,
)

@Serializable
private class TransactionResponse(
    val versions: List<Long>,
)

@Serializable
private class TransactionFailure(
    val failed: Int,
)

@Serializable
private class InstancesResponse(
    val instances: List<ListedInstance>,
)

internal class HttpTableStore(
    private val calls: HttpCalls,
) : TableStore {
    override suspend fun get(
        table: String,
        key: String,
    ): Either<PlatformError, Row?> {
        val step = "table-get"
        return calls.read(step, path(table, key)).flatMap { response ->
            when (response.status) {
                200 -> decodeBody(calls, step, response) { Row(key, version(response), json.parseToJsonElement(it)) }
                404 -> null.right()
                else -> calls.unexpectedStatus(step, response).left()
            }
        }
    }

    override suspend fun put(
        table: String,
        key: String,
        value: JsonElement,
        ifVersion: Long,
    ): Either<PlatformError, Long> {
        val step = "table-put"
        val condition = if (ifVersion == ABSENT) "If-None-Match" to "*" else "If-Match" to "\"$ifVersion\""
        return calls
            .write(step, HttpMethod.Put, path(table, key)) {
                headers.append(condition.first, condition.second)
                jsonBody(value.toString())
            }.flatMap { response ->
                when (response.status) {
                    200, 201 -> decodeBody(calls, step, response) { version(response) }
                    412 -> calls.conflict(step, "row $key does not have version $ifVersion").left()
                    else -> calls.unexpectedStatus(step, response).left()
                }
            }
    }

    override suspend fun scan(
        table: String,
        prefix: String,
        after: String?,
        limit: Int,
    ): Either<PlatformError, RowPage> {
        val step = "table-scan"
        val afterQuery = after?.let { "&after=${it.encodeURLParameter()}" }.orEmpty()
        val path = "/tables/${table.encodeURLPathPart()}?prefix=${prefix.encodeURLParameter()}$afterQuery&limit=$limit"
        return calls.read(step, path).flatMap { response ->
            if (response.status == 200) {
                decodeBody(calls, step, response) { json.decodeFromString<RowPage>(it) }
            } else {
                calls.unexpectedStatus(step, response).left()
            }
        }
    }

    override suspend fun transaction(writes: List<TableWrite>): Either<PlatformError, List<Long>> {
        val step = "table-transaction"
        val body = json.encodeToString(TransactionRequest(writes))
        return calls.write(step, HttpMethod.Post, "/transactions") { jsonBody(body) }.flatMap { response ->
            when (response.status) {
                200 -> decodeBody(calls, step, response) { json.decodeFromString<TransactionResponse>(it).versions }
                409 ->
                    decodeBody(calls, step, response) { json.decodeFromString<TransactionFailure>(it).failed }
                        .flatMap { index ->
                            val detail = "condition of write $index failed: ${writes.getOrNull(index)?.key}"
                            calls.conflict(step, detail, index).left()
                        }
                else -> calls.unexpectedStatus(step, response).left()
            }
        }
    }

    private fun path(
        table: String,
        key: String,
    ) = "/tables/${table.encodeURLPathPart()}/${key.encodeURLPathPart()}"

    private fun version(response: PlatformResponse) = checkNotNull(response.eTag) { "no ETag header" }.toLong()
}

internal class HttpObjectStore(
    private val calls: HttpCalls,
) : ObjectStore {
    override suspend fun get(key: String): Either<PlatformError, ByteArray?> =
        calls.read("object-get", "/objects/${key.encodeURLPathPart()}").flatMap { response ->
            when (response.status) {
                200 -> response.body.right()
                404 -> null.right()
                else -> calls.unexpectedStatus("object-get", response).left()
            }
        }

    override suspend fun put(
        key: String,
        bytes: ByteArray,
    ): Either<PlatformError, Unit> =
        calls
            .write("object-put", HttpMethod.Put, "/objects/${key.encodeURLPathPart()}") { setBody(bytes) }
            .flatMap { requireSuccess(calls, "object-put", it) }
}

internal class HttpOrdering(
    private val calls: HttpCalls,
) : OrderingInterface {
    override suspend fun send(
        order: ScaleOrder,
        maySend: () -> Boolean,
    ): Either<PlatformError, Unit> =
        calls
            .write("order", HttpMethod.Post, "/orders", maySend) { jsonBody(json.encodeToString(order)) }
            .flatMap { requireSuccess(calls, "order", it) }
}

internal class HttpUsageIntake(
    private val calls: HttpCalls,
) : UsageIntake {
    override suspend fun report(
        report: UsageReport,
        maySend: () -> Boolean,
    ): Either<PlatformError, Unit> =
        calls
            .write("usage-report", HttpMethod.Post, "/usage-reports", maySend) { jsonBody(json.encodeToString(report)) }
            .flatMap { requireSuccess(calls, "usage-report", it) }
}

/**
 * Caches the last list with its entity tag and polls with a conditional GET, because the list is long, polled often and
 * changes rarely.
 */
internal class HttpInstanceList(
    private val calls: HttpCalls,
) : InstanceList {
    private class CachedList(
        val eTag: String,
        val instances: List<ListedInstance>,
    )

    @Volatile
    private var cached: CachedList? = null

    override suspend fun instances(): Either<PlatformError, List<ListedInstance>> {
        val last = cached
        val condition: HttpRequestBuilder.() -> Unit = {
            if (last != null) headers.append("If-None-Match", "\"${last.eTag}\"")
        }
        return calls.read("instances", "/instances", condition).flatMap { response ->
            when {
                response.status == 200 ->
                    decodeBody(calls, "instances", response) { json.decodeFromString<InstancesResponse>(it).instances }
                        .onRight { list -> cached = response.eTag?.let { CachedList(it, list) } }
                response.status == 304 && last != null -> last.instances.right()
                else -> calls.unexpectedStatus("instances", response).left()
            }
        }
    }
}

private fun requireSuccess(
    calls: HttpCalls,
    step: String,
    response: PlatformResponse,
): Either<PlatformError, Unit> =
    when (response.status) {
        in 200..299 -> Unit.right()
        409 -> calls.conflict(step, response.body.decodeToString().take(200)).left()
        else -> calls.unexpectedStatus(step, response).left()
    }

private fun <T> decodeBody(
    calls: HttpCalls,
    step: String,
    response: PlatformResponse,
    decode: (String) -> T,
): Either<PlatformError, T> =
    try {
        Either
            .catch {
                decode(
                    response.body.decodeToString(),
                )
            }.mapLeft { calls.undecodableResponse(step, response, it) }
    } catch (e: StackOverflowError) {
        // Either.catch passes errors of the virtual machine on, but this one is the fault of the response.
        calls.undecodableResponse(step, response, e).left()
    }
