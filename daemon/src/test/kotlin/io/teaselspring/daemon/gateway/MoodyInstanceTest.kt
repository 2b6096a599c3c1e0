/*
 * Guards against a stand-in that counts requests against a statement that none of its responses has made.
 */
package io.teaselspring.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import java.io.ByteArrayOutputStream
import java.io.OutputStream
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

private val ORDERED = ReceivedRequest("POST ${ORDER}x HTTP/1.1", listOf("X-Request-Id: r1", "X-Call: c1"), "")

/** Later than a request that was on its way may still arrive. */
private val TOO_LATE = 501.milliseconds

/** Calls [onWrite] when a response is written. */
private class ObservedOutput(
    private val onWrite: () -> Unit,
) : OutputStream() {
    override fun write(byte: Int) = onWrite()

    override fun write(bytes: ByteArray) = onWrite()
}

class MoodyInstanceTest :
    FunSpec({
        test("an instance told to leave while it writes a response has not said so") {
            val time = TestTimeSource()
            val journal = Journal(time)
            val instance = MoodyInstance("i1", journal, seed = 1)
            instance.upstream.use {
                instance.respondTo(ORDERED, ObservedOutput { instance.isLeaving.set(true) })
                time += TOO_LATE
                instance.respondTo(ORDERED, ByteArrayOutputStream())
                journal.tooLate.shouldBeEmpty()
                time += TOO_LATE
                instance.respondTo(ORDERED, ByteArrayOutputStream())
                journal.tooLate shouldHaveSize 1
            }
        }
    })
