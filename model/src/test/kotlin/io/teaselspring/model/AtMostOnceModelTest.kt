/*
 * Checks the path of a request that must not run twice, src/main/tla/AtMostOnce.tla, and that the check is able to
 * fail: each broken variant takes one protection away, and TLC has to refute it.
 */
package io.teaselspring.model

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class AtMostOnceModelTest :
    FunSpec({
        fun check(
            name: String,
            changes: Map<String, String>,
            violated: String? = null,
        ) = test(name) {
            val result = checkModel(name, "AtMostOnce", changes, violated?.let(::listOf))
            withClue(result.output) {
                result.violated shouldBe violated
                result.exitCode shouldBe if (violated == null) 0 else INVARIANT_FAILED
            }
        }

        fun without(protection: String) = mapOf(protection to "FALSE")
        val independent = mapOf("Keyed" to "FALSE", "Agents" to "{a1}", "MaxAttempts" to "1")

        check("I9 I10 repeats with one idempotency key run once", emptyMap())
        check("I8 I9 I10 independent requests run once and get their own whole answers", independent)

        check("refuted: no claim of the outcome row", without("ClaimFirst"), "AtMostOnce")
        check("refuted: no record of the request id before the run", without("RecordFirst"), "NotRunIsTrue")
        check("refuted: early cancels are forgotten", without("KeepCancels"), "NotRunIsTrue")
        check("refuted: a lost connection is retried", without("ProofOnly"), "AtMostOnce")
        check("refuted: answers are matched by arrival", independent + without("MatchById"), "AnswerIsOwn")
        check("refuted: a cut answer counts as whole", without("CheckWhole"), "AnswerIsWhole")
    })
