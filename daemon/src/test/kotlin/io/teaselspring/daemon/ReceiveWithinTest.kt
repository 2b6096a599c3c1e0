package io.teaselspring.daemon

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.milliseconds

private val limit = 50.milliseconds

// Guards against an event, such as the withdrawal of a key, that is lost because it arrives as a wait for it ends.
class ReceiveWithinTest :
    FunSpec({
        test("an element that arrives before, at or after the limit is received once") {
            (0L..100L).forEach { sentAtMs ->
                runTest {
                    val channel = Channel<Long>(1)
                    launch {
                        delay(sentAtMs.milliseconds)
                        channel.send(sentAtMs)
                    }
                    // The sender's delay is registered first, so that it ends before the limit of the same millisecond.
                    testScheduler.runCurrent()
                    val received = listOfNotNull(channel.receiveWithin(limit), channel.receiveWithin(limit * 2))
                    received shouldBe listOf(sentAtMs)
                }
            }
        }

        test("without an element the wait ends at the limit") {
            runTest {
                Channel<Long>().receiveWithin(limit) shouldBe null
                testScheduler.currentTime shouldBe limit.inWholeMilliseconds
            }
        }
    })
