/*
 * Guards against an exception in one background task that ends the process, its other tasks, or the task for good.
 */
package io.teaselspring.daemon

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import kotlinx.coroutines.withTimeout
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class SupervisedTaskTest :
    FunSpec({
        test("a task that fails runs again, less often while it keeps failing, and its siblings run on") {
            runTest {
                val startedAtMs = ArrayList<Long>()
                val failures = ArrayList<String>()
                val sibling = launch { awaitCancellation() }
                val job =
                    launchRestarting("odd", failures::add, 100.milliseconds, 1.seconds, testTimeSource) {
                        startedAtMs += currentTime
                        if (startedAtMs.size < 7) error("odd row")
                    }
                job.join()
                startedAtMs shouldContainExactly listOf(0, 100, 300, 700, 1_500, 2_500, 3_500)
                failures shouldContainExactly List(6) { "odd" }
                sibling.isActive shouldBe true
                sibling.cancel()
            }
        }

        test("a long run ends the series of failures") {
            runTest {
                val startedAtMs = ArrayList<Long>()
                launchRestarting("odd", {}, 100.milliseconds, 1.seconds, testTimeSource) {
                    startedAtMs += currentTime
                    if (startedAtMs.size == 3) delay(1.seconds)
                    if (startedAtMs.size < 5) error("odd row")
                }.join()
                startedAtMs shouldContainExactly listOf(0, 100, 300, 1_400, 1_600)
            }
        }

        test("a time limit that escapes from a task is a failure, not the end of the task") {
            runTest {
                var runs = 0
                launchRestarting("slow", timeSource = testTimeSource) {
                    runs += 1
                    if (runs == 1) withTimeout(10.milliseconds) { awaitCancellation() }
                }.join()
                runs shouldBe 2
            }
        }

        test("a cancelled task does not run again") {
            runTest {
                var runs = 0
                val job =
                    launchRestarting("cancelled", timeSource = testTimeSource) {
                        runs += 1
                        awaitCancellation()
                    }
                delay(1.seconds)
                job.cancel()
                job.join()
                runs shouldBe 1
            }
        }

        test("an error of the virtual machine is not caught") {
            shouldThrow<OutOfMemoryError> {
                coroutineScope { launchRestarting("full") { throw OutOfMemoryError("test") } }
            }
        }

        test("a task that runs once and fails ends nothing else") {
            runTest {
                val sibling = launch { awaitCancellation() }
                launchOnce("odd") { error("odd row") }.join()
                sibling.isActive shouldBe true
                sibling.cancel()
            }
        }
    })
