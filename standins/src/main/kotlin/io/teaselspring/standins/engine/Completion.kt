/*
 * The text of a completion: a function of model, messages and seed alone, so that every engine of a model continues
 * the same stream. One word is one token.
 */
package io.teaselspring.standins.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.SplittableRandom
import kotlin.math.pow

private const val TOKEN_CHARS = 4

/** Tokens of one block of the prefix cache. */
internal const val BLOCK_TOKENS = 16

private val WORDS =
    (
        "the road past a quiet village leads to old bridge and market where grain cotton wool horses wait for " +
            "morning rain while carts roll slowly over stone toward coast with letters bales maps lamps"
    ).split(' ')

@Serializable
internal data class Message(
    val role: String = "user",
    val content: JsonElement,
)

/** The fields of a chat completion that the stand-in reads; others are ignored. */
@Serializable
internal data class ChatRequest(
    val model: String,
    val messages: List<Message>,
    val stream: Boolean = false,
    @SerialName("max_tokens") val maxTokens: Int? = null,
    val priority: Int = 0,
    val seed: Long = 0,
)

/** What a request produces: [length] tokens and one last event with the usage. */
internal class Completion(
    private val request: ChatRequest,
) {
    private val prompt = request.messages.joinToString("\n") { "${it.role}: ${it.content}" }
    private val hash =
        ByteBuffer
            .wrap(
                MessageDigest.getInstance("SHA-256").digest("${request.model}\n${request.seed}\n$prompt".toByteArray()),
            ).getLong()
    private val id = "chatcmpl-%016x".format(hash)

    /** `max_tokens`, or else 16 to 512 with a long tail. */
    val length: Int = request.maxTokens ?: 2.0.pow(4 + 5 * SplittableRandom(hash).nextDouble()).toInt()
    val promptTokens: Int = (prompt.length + TOKEN_CHARS - 1) / TOKEN_CHARS

    /** A hash for each full block of the prompt that covers the prompt up to its end. */
    val promptBlocks: List<Long> =
        prompt
            .chunked(TOKEN_CHARS * BLOCK_TOKENS)
            .filter { it.length == TOKEN_CHARS * BLOCK_TOKENS }
            .runningFold(request.model.hashCode().toLong()) { before, block ->
                SplittableRandom(before xor block.hashCode().toLong()).nextLong()
            }.drop(1)

    fun token(index: Int): String = WORDS[SplittableRandom(hash + index + 1).nextInt(WORDS.size)] + " "

    /** Event [index] of the stream; event [length] ends the text and has the usage. */
    fun event(index: Int): JsonObject =
        chunk("chat.completion.chunk") {
            if (index < length) {
                putJsonObject("delta") {
                    if (index == 0) put("role", "assistant")
                    put("content", token(index))
                }
            } else {
                putJsonObject("delta") { }
                put("finish_reason", finishReason())
            }
        }.let { if (index < length) it else JsonObject(it + ("usage" to usage())) }

    /** The unary response. */
    fun response(): JsonObject =
        chunk("chat.completion") {
            putJsonObject("message") {
                put("role", "assistant")
                put("content", (0 until length).joinToString("") { token(it) })
            }
            put("finish_reason", finishReason())
        }.let { JsonObject(it + ("usage" to usage())) }

    private fun chunk(
        type: String,
        choice: JsonObjectBuilder.() -> Unit,
    ) = buildJsonObject {
        put("id", id)
        put("object", type)
        // A constant, because every engine has to give the same bytes.
        put("created", 0)
        put("model", request.model)
        putJsonArray("choices") {
            addJsonObject {
                put("index", 0)
                choice()
            }
        }
    }

    private fun finishReason() = if (request.maxTokens == null) "stop" else "length"

    /** Counts the whole completion, also in a resumed stream. */
    private fun usage() =
        buildJsonObject {
            put("prompt_tokens", promptTokens)
            put("completion_tokens", length)
            put("total_tokens", promptTokens + length)
        }
}

/** Blocks that the prompt and [generated] tokens occupy in the cache. */
internal fun Completion.blocks(generated: Int): Int = (promptTokens + generated + BLOCK_TOKENS - 1) / BLOCK_TOKENS
