/*
 * Requests with prompts whose first parts are shared: classes, sites and the requests of one run, drawn from a seed
 * before any policy runs.
 */
package io.teaselspring.experiment.prompts

import io.teaselspring.core.placement.LatencyGroup
import io.teaselspring.core.placement.PromptPart
import io.teaselspring.core.placement.latencyGroupOf
import kotlin.math.cos
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow
import kotlin.math.sqrt
import kotlin.random.Random

/** A random size: log-normal around [mean] with [spread], at most [most]. */
data class Size(
    val mean: Double,
    val spread: Double,
    val most: Double,
)

/** A part of a prompt that is one of [subjects]; popular ones come more often. */
data class SharedPart(
    val subjects: Int,
    val tokens: Size,
)

/**
 * A class of requests. [worth] is what a response within [targetMs] and [eventGapMs] earns, [lateWorth] a later one.
 */
data class PromptClass(
    val name: String,
    val perSecond: Double,
    val shared: List<SharedPart>,
    val ownTokens: Size,
    val events: Size,
    val targetMs: Long,
    val eventGapMs: Long,
    val deadlineMs: Long,
    val priority: Int,
    val worth: Double,
    val lateWorth: Double,
)

/** [factor] times the requests of the class [name] from [fromMs] on for [forMs]. */
data class Burst(
    val name: String,
    val factor: Double,
    val fromMs: Long,
    val forMs: Long,
)

/** Requests like those of the class [name], [perSecond] of them from [fromMs] on, with one more shared part. */
data class AddedPart(
    val name: String,
    val part: PromptPart,
    val perSecond: Double,
    val fromMs: Long,
)

/** One request. [entry] is a number that the balancer drew. */
class PromptRequest(
    val id: Long,
    val profile: PromptClass,
    val group: LatencyGroup,
    val arrivedMs: Long,
    val prompt: List<PromptPart>,
    val outputTokens: Int,
    val entry: Int,
) {
    /**
     * Weight of the request's worth: 0.3 plus 0.7 times its size against the mean of its class, at most 4. A generated
     * token counts as ten of the prompt.
     */
    fun weight(tokensPerEvent: Int): Double {
        val size = prompt.sumOf { it.tokens } + TOKEN_WEIGHT * outputTokens
        val meanPrompt = profile.shared.sumOf { it.tokens.mean } + profile.ownTokens.mean
        val meanSize = meanPrompt + TOKEN_WEIGHT * profile.events.mean * tokensPerEvent
        return minOf(MOST_WEIGHT, BASE_WEIGHT + SIZE_WEIGHT * size / meanSize)
    }

    private companion object {
        const val TOKEN_WEIGHT = 10
        const val BASE_WEIGHT = 0.3
        const val SIZE_WEIGHT = 0.7
        const val MOST_WEIGHT = 4.0
    }
}

/** The requests of [durationMs]; an event of a stream holds [tokensPerEvent]. */
fun drawRequests(
    seed: Long,
    durationMs: Long,
    classes: List<PromptClass>,
    bursts: List<Burst>,
    tokensPerEvent: Int,
): List<PromptRequest> {
    var lastId = 0L
    val eventGaps = classes.map { it.eventGapMs }
    return classes
        .flatMapIndexed { index, profile ->
            val random = Random(seed * SEED_STEP + index)
            val parts = profile.shared.map { shared -> List(shared.subjects) { random.size(shared.tokens) } }
            arrivals(random, durationMs) { atMs -> profile.perSecond * factor(bursts, profile, atMs) }.map { atMs ->
                val shared =
                    profile.shared.mapIndexed {
                        level,
                        part,
                        ->
                        subject(random, profile, level, part, parts[level])
                    }
                val id = ++lastId
                val own = PromptPart("own-$id", random.size(profile.ownTokens))
                val events = random.size(profile.events).toInt()
                val group = latencyGroupOf(profile.eventGapMs, eventGaps)
                PromptRequest(
                    id,
                    profile,
                    group,
                    atMs,
                    shared + own,
                    events * tokensPerEvent,
                    random.nextInt(MOST_ENTRIES),
                )
            }
        }.sortedBy { it.arrivedMs }
}

/** The requests with the part of [added], in the order of their arrival. Their ids are negative. */
fun drawRequests(
    added: AddedPart,
    seed: Long,
    durationMs: Long,
    classes: List<PromptClass>,
    tokensPerEvent: Int,
): List<PromptRequest> {
    val profile = classes.single { it.name == added.name }
    // The same class at the same seed has the same shared parts, so the requests differ in the added part only.
    val drawn =
        drawRequests(seed, durationMs, classes, listOf(Burst(added.name, MOST_FACTOR, 0, durationMs)), tokensPerEvent)
    val random = Random(seed * SEED_STEP - 1)
    val like = drawn.filter { it.profile.name == added.name && it.arrivedMs >= added.fromMs }
    val share = added.perSecond / (profile.perSecond * MOST_FACTOR)
    return like.filter { random.nextDouble() < share }.map {
        val prompt = it.prompt.dropLast(1) + added.part + it.prompt.last()
        PromptRequest(-it.id, it.profile, it.group, it.arrivedMs, prompt, it.outputTokens, it.entry)
    }
}

private fun factor(
    bursts: List<Burst>,
    profile: PromptClass,
    atMs: Long,
) = bursts.filter { it.name == profile.name && atMs in it.fromMs until it.fromMs + it.forMs }.maxOfOrNull { it.factor }
    ?: 1.0

private fun subject(
    random: Random,
    profile: PromptClass,
    level: Int,
    part: SharedPart,
    tokens: List<Long>,
): PromptPart {
    // Inverse of the sum of 1 / rank^skew, which is close to a power of the rank.
    val rank = (part.subjects * random.nextDouble().pow(1 / (1 - SKEW))).toInt().coerceAtMost(part.subjects - 1)
    return PromptPart("${profile.name}-$level-$rank", tokens[rank])
}

/** Poisson arrivals at a rate that is at most [MOST_PER_SECOND]. */
private fun arrivals(
    random: Random,
    durationMs: Long,
    rate: (atMs: Long) -> Double,
): List<Long> {
    var atMs = 0.0
    val found = mutableListOf<Long>()
    while (true) {
        atMs += -ln(1 - random.nextDouble()) * MS_PER_S / MOST_PER_SECOND
        if (atMs >= durationMs) return found
        if (random.nextDouble() < rate(atMs.toLong()) / MOST_PER_SECOND) found += atMs.toLong()
    }
}

private fun Random.size(size: Size): Long {
    val normal = sqrt(-2 * ln(1 - nextDouble())) * cos(2 * Math.PI * nextDouble())
    val value = size.mean * exp(size.spread * normal - size.spread * size.spread / 2)
    return value.coerceIn(1.0, size.most).toLong()
}

private const val MOST_FACTOR = 4.0
private const val SEED_STEP = 1_009L
private const val SKEW = 0.3
private const val MOST_PER_SECOND = 400.0
private const val MS_PER_S = 1_000
private const val MOST_ENTRIES = 1_000_000
