/*
 * Checks how entries decide at which software version a resumed stream goes on, src/main/tla/StreamVersion.tla, and
 * that the check is able to fail: each broken variant takes one protection away, and TLC has to refute it.
 */
package io.teaselspring.model

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class StreamVersionModelTest :
    FunSpec({
        fun check(
            name: String,
            changes: Map<String, String>,
            violated: String? = null,
        ) = test(name) {
            val result = checkModel(name, "StreamVersion", changes, violated?.let(::listOf))
            withClue(result.output) {
                result.violated shouldBe violated
                result.exitCode shouldBe if (violated == null) 0 else INVARIANT_FAILED
            }
        }

        fun refuted(
            name: String,
            changes: Map<String, String>,
        ) = check("refuted: $name", changes, "OneVersion")

        fun without(protection: String) = mapOf(protection to "FALSE")

        fun reached(
            name: String,
            refuted: String,
        ) = check("reached: $name", mapOf("KeepWay" to "TRUE"), refuted)

        val delays = mapOf("WriteTicks" to "1", "ReadTicks" to "1", "Window" to "4")
        val noRestore = mapOf("MaxRestores" to "0")
        val fromFirst = mapOf("LifeFromFirst" to "TRUE")
        val merges = mapOf("Merges" to "TRUE")

        check("a stream goes on at the version that began it", emptyMap())
        check("delays of writes and decisions that the window contains keep it so", delays + noRestore)
        check(
            "resumptions need no check of their own if the window covers all attempts of a stream",
            without("CheckResumption") + fromFirst,
        )

        reached("a stream goes on by the memory of an entry", "NeverByMemory")
        reached("a stream goes on by the row", "NeverByRow")
        reached("a stream goes on by its record", "NeverByRecord")
        reached("a stream goes on by the row of a restored store", "NeverByRowAfterRestore")

        refuted("a row is replaced by a writer that has not read it", noRestore + without("ConditionalWrite"))
        refuted("streams begin at versions that are not listed", noRestore + without("WriteBeforeUse"))
        refuted("an entry that is cut off goes on beginning streams", noRestore + without("BoundedAge"))
        refuted("rows of earlier generations are relied on", without("CurrentGeneration"))
        refuted("a row is compared with the generation that the entry knew before", without("ResponseGeneration"))
        refuted("the row is taken from the entry's view", noRestore + without("FreshRead"))
        refuted("versions that left do not count", noRestore + without("CountLeft"))
        refuted("the first row of a generation counts as complete", merges + without("CompleteLater"))
        refuted("the window is shorter than a stream and the margin", noRestore + mapOf("Window" to "1"))
        refuted("the window lacks the delay of a write", noRestore + mapOf("WriteTicks" to "1"))
        refuted("the window lacks the delay of a decision", noRestore + mapOf("ReadTicks" to "1"))
        refuted(
            "a stream that is resumed again and again outlives the window",
            noRestore + without("CheckResumption"),
        )
    })
