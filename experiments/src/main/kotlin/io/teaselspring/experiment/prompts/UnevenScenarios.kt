/*
 * Scenarios with engines of unequal speed, each of which is slowed down by other work on its machine now and then.
 * Beside the entries' own policy the same one that ignores the work times that engines state.
 */
package io.teaselspring.experiment.prompts

/** The entries' own policy if it treats all engines as equally fast. */
val ignoreWorkTimes = queuePolicy("ignore work times", heedsWorkTime = false)

/** Two of three engines are 2.4 times as fast as the others. */
private val unevenWorkTimes = WorkTimes(lastingPct = listOf(70, 70, 170), slowShare = 0.15)

private val unevenEngine =
    EngineFigures(
        memoryTokens = 641_992,
        stepMs = 5.61,
        stepMsPerRequest = 0.121,
        stepMsPerThousandTokens = 0.00192,
        promptTokensPerMs = 54.6,
        msPerMillionPairs = 0.248,
        tokensPerEvent = 4,
        workTimes = unevenWorkTimes,
    )

private fun unevenScenario(entries: Int) =
    PromptScenario(
        "prompts-burst-uneven-$entries",
        "31 engines of unequal speed behind $entries entries, bursts of long and of short prompts",
        engines = 31,
        unevenEngine,
        grownAssociation(Rates(50.0, 16.0, 35.0)).map {
            if (it.priority ==
                2
            ) {
                it.copy(events = Size(30.0, 1.6, 120.0), targetMs = 2_000, deadlineMs = 12_000)
            } else {
                it
            }
        },
        listOf(
            Burst("dossier", 2.7, fromMs = 500, forMs = 9_000),
            Burst("question", 2.4, fromMs = 11_000, forMs = 5_000),
            Burst("dossier", 2.5, fromMs = 17_500, forMs = 3_500),
        ),
        entries = entries,
        callers = Callers(returnWhenRefused = true),
        policies = listOf(queuePolicy(), ignoreWorkTimes, prefixHash, leastLoaded),
    )

/** The same load behind few, more and many entries. */
val unevenScenarios = listOf(24, 100, 330).map(::unevenScenario)
