/*
 * Guards against requests that are refused although they would have been served, because what they state about their
 * output is far off or few streams were seen, and against requests that are started although they cannot end in time.
 */
package io.teaselspring.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import kotlin.math.exp
import kotlin.random.Random
import kotlin.random.asJavaRandom

private const val MS_PER_TOKEN = 20.0
private const val MAX_TOKENS = 4_000L

class StreamPacesTest :
    FunSpec({
        val random = Random(1)

        /** An output whose estimate is right at the median and off by [spread] in its logarithm. */
        fun output(
            estimate: Long,
            spread: Double,
        ) = (estimate * exp(spread * random.asJavaRandom().nextGaussian())).toLong().coerceIn(1, MAX_TOKENS)

        fun pacesOf(
            streams: Int,
            spread: Double,
        ) = StreamPaces().apply {
            repeat(streams) {
                val estimate = random.nextLong(50, 1_000)
                val tokens = output(estimate, spread)
                record(
                    EndedStream(StatedOutput(MAX_TOKENS, estimate), tokens, (tokens * MS_PER_TOKEN).toLong()),
                    it * 10L,
                )
            }
        }

        test("without enough streams of late nothing is known") {
            pacesOf(streams = 99, spread = 0.0).leastMs(StatedOutput(MAX_TOKENS, 4_000), 1_000) shouldBe null
            pacesOf(streams = 500, spread = 0.0).leastMs(StatedOutput(MAX_TOKENS, 4_000), 200_000) shouldBe null
            pacesOf(streams = 500, spread = 0.0).leastMs(StatedOutput.UNKNOWN, 5_000) shouldBe null
        }

        test("with estimates that are right, the time is that of the estimate at the median pace") {
            val paces = pacesOf(streams = 500, spread = 0.0)
            paces.leastMs(StatedOutput(MAX_TOKENS, 1_000), 5_000)!! shouldBeInRange 19_800L..20_000L
            // An output has no more tokens than the request allows.
            paces.leastMs(StatedOutput(maxTokens = 100, 1_000), 5_000)!! shouldBeInRange 1_980L..2_000L
        }

        test("a maximum that outputs hardly ever reach refuses nothing") {
            val paces = pacesOf(streams = 500, spread = 0.0)
            paces.leastMs(StatedOutput(maxTokens = MAX_TOKENS), 5_000)!! shouldBeInRange 900L..2_000L
        }

        test("with estimates that are far off, hardly any request that would have ended in time is refused") {
            val paces = pacesOf(streams = 500, spread = 1.0)
            val deadlineMs = 12_000L
            var endedInTime = 0
            var refused = 0
            repeat(10_000) {
                val estimate = random.nextLong(50, 4_000)
                val needsMs = output(estimate, spread = 1.0) * MS_PER_TOKEN
                if (needsMs > deadlineMs) return@repeat
                endedInTime += 1
                val leastMs = paces.leastMs(StatedOutput(MAX_TOKENS, estimate), 5_000)
                if (leastMs != null && leastMs > deadlineMs) refused += 1
            }
            refused.toDouble() / endedInTime shouldBeLessThan 0.01
        }
    })
