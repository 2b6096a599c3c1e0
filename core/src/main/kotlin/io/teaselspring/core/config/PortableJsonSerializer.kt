/*
 * Serializer for JSON objects in formats other than JSON. The library's own serializer of JsonObject works only with
 * the JSON format, while changes are also sent between processes as CBOR.
 */
package io.teaselspring.core.config

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonDecoder
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonEncoder
import kotlinx.serialization.json.JsonObject

/** Encodes a JSON object as itself in JSON, and as its text in other formats. */
public object PortableJsonSerializer : KSerializer<JsonObject> {
    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor("json", PrimitiveKind.STRING)

    override fun serialize(
        encoder: Encoder,
        value: JsonObject,
    ): Unit = if (encoder is JsonEncoder) encoder.encodeJsonElement(value) else encoder.encodeString(value.toString())

    override fun deserialize(decoder: Decoder): JsonObject {
        val element: JsonElement =
            if (decoder is JsonDecoder) decoder.decodeJsonElement() else Json.parseToJsonElement(decoder.decodeString())
        return element as? JsonObject ?: throw SerializationException("not a JSON object")
    }
}
