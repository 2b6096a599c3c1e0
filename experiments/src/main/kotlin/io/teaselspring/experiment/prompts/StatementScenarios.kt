/*
 * Scenarios in which engines say that they want a pause or are leaving: a third of them pauses for 2 s under load, or a
 * release replaces all of them, which write nothing to the registry. Beside the entries' own policy the same one that
 * sends everything again as soon as a pause ends, and the same one that ignores what engines say.
 */
package io.teaselspring.experiment.prompts

import io.teaselspring.core.registry.Availability

/** The entries' own policy without its slow return after a pause. */
val returnAtOnce = queuePolicy("return at once") { stated, _, _, nowMs -> stated.at(nowMs) == Availability.OPEN }

/** The entries' own policy if it ignores that engines leave or want a pause. */
val ignoreStatements = queuePolicy("ignore statements") { _, _, _, _ -> true }

private val statementPolicies = listOf(queuePolicy(), returnAtOnce, ignoreStatements)

private fun thirdPauses(engines: Int) =
    EngineStatements(listOf(10_000L, 16_000L, 22_000L).map { EnginePause(engines / 3, it, forMs = 2_000) })

private fun smallSite(
    name: String,
    description: String,
    durationMs: Long,
    statements: EngineStatements,
    load: Double = 1.0,
) = PromptScenario(
    name,
    "8 engines behind 5 entries: $description",
    engines = 8,
    carriageEngine,
    carriage(Rates(11.8, 10.5, 22.7) * load),
    durationMs = durationMs,
    faults = EngineFaults(statements = statements),
    callers = Callers(returnWhenRefused = true),
    policies = statementPolicies,
)

private fun largeSite(
    name: String,
    description: String,
    durationMs: Long,
    statements: EngineStatements,
    load: Double = 1.0,
) = PromptScenario(
    name,
    "34 engines behind 26 entries: $description",
    engines = 34,
    EngineFigures(memoryTokens = 604_170, tokensPerEvent = 6),
    grownAssociation(Rates(63.0, 36.0, 84.0) * load),
    entries = 26,
    durationMs = durationMs,
    faults = EngineFaults(statements = statements),
    callers = Callers(returnWhenRefused = true),
    policies = statementPolicies,
)

private const val HIGH_LOAD = 1.5
private const val PAUSE_TEXT = "a third of the engines pauses for 2 s, three times"
private const val RELEASE_TEXT = "all engines are replaced in turn and write nothing to the registry"
private const val PAUSES_END_MS = 30_000L
private const val RELEASE_END_MS = 48_000L

/** All scenarios in which engines say what they want. */
val statementScenarios =
    listOf(
        smallSite("prompts-pause-8", PAUSE_TEXT, PAUSES_END_MS, thirdPauses(8), HIGH_LOAD),
        largeSite("prompts-pause-34", PAUSE_TEXT, PAUSES_END_MS, thirdPauses(34), HIGH_LOAD),
        smallSite(
            "prompts-release-8",
            RELEASE_TEXT,
            RELEASE_END_MS,
            EngineStatements(release = EngineRelease(fromMs = 5_000, everyMs = 4_000)),
        ),
        largeSite(
            "prompts-release-34",
            RELEASE_TEXT,
            RELEASE_END_MS,
            EngineStatements(release = EngineRelease(fromMs = 5_000, everyMs = 1_000)),
        ),
    )
