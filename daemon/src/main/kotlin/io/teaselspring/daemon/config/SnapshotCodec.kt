/*
 * A configuration state as compressed JSON, for the object store and for peers. Uncompressed, 46,000 organisations
 * with their keys exceed the largest frame.
 */
package io.teaselspring.daemon.config

import io.teaselspring.core.config.ConfigState
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.decodeFromStream
import kotlinx.serialization.json.encodeToStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

private val json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = false
    }

/** [state] as gzip-compressed JSON. */
@OptIn(ExperimentalSerializationApi::class)
fun encodeSnapshot(state: ConfigState): ByteArray {
    val bytes = ByteArrayOutputStream()
    GZIPOutputStream(bytes).use { json.encodeToStream(state, it) }
    return bytes.toByteArray()
}

/**
 * The state in [bytes].
 *
 * @throws SerializationException if [bytes] is not an encoded state.
 */
@OptIn(ExperimentalSerializationApi::class)
fun decodeSnapshot(bytes: ByteArray): ConfigState =
    try {
        GZIPInputStream(bytes.inputStream()).use { json.decodeFromStream<ConfigState>(it) }
    } catch (e: IOException) {
        throw SerializationException("snapshot of ${bytes.size} bytes is damaged", e)
    }
