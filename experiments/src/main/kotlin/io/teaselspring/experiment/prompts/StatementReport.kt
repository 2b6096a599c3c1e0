/*
 * The table of what engines got that had said that they want nothing.
 */
package io.teaselspring.experiment.prompts

private const val BEFORE_MS = 2_000L
private const val FIRST_MS = 500L
private const val REST_MS = 1_500L

/** Lines for [figures] of a scenario in which engines say something. */
internal fun statementLines(figures: List<PromptFigures>): String =
    buildString {
        val columns =
            listOf(
                "heard",
                "in pause (most)",
                "after drain",
                "refusals",
                "answered",
                "refused",
                "cut off",
                "late or lost",
            ) +
                listOf("before: /s (most)", "first 0.5 s", "next 1.5 s")
        appendLine("%-20s".format("policy") + columns.joinToString("") { "%18s".format(it) })
        for (one in figures) {
            val stated = one.statements
            val answered = one.outcomes.count { it.isWhole }
            val cells =
                listOf(
                    "${stated.heardPauses}+${stated.heardLeavings}",
                    "${stated.inPause} (${stated.mostInPause})",
                    stated.afterDrain,
                    stated.refusals,
                    answered,
                    one.refused,
                    stated.cutOff,
                    one.outcomes.size - answered - one.refused,
                    stated.beforePauses(BEFORE_MS).text(),
                    stated.afterPauses(0, FIRST_MS).text(),
                    stated.afterPauses(FIRST_MS, REST_MS).text(),
                )
            appendLine("%-20s".format(one.policy) + cells.joinToString("") { "%18s".format(it) })
        }
        appendLine("before, first, next: requests a second of an engine that pauses (most in 0.1 s), around its end")
    }

private fun ArrivalFigures.text() = "%.1f (%d)".format(perSecond, mostAtOnce)
