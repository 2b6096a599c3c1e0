/*
 * The two sites of the milestone as loads of prompts, on a calm day and on one of high load.
 */
package io.teaselspring.experiment.prompts

private fun guides(
    name: String,
    perSecond: Double,
    subjects: Int = 169,
) = PromptClass(
    name,
    perSecond,
    listOf(SharedPart(subjects, Size(13_300.0, 0.7, 39_900.0))),
    ownTokens = Size(3_720.0, 1.1, 53_200.0),
    events = Size(23.9, 1.4, 95.8),
    targetMs = 1_500,
    eventGapMs = 800,
    deadlineMs = 8_000,
    priority = 2,
    worth = 1.8,
    lateWorth = 0.52,
)

private fun questions(
    name: String,
    perSecond: Double,
    subjects: Int,
) = PromptClass(
    name,
    perSecond,
    listOf(
        SharedPart(subjects = 4, Size(2_520.0, 0.4, 6_290.0)),
        SharedPart(subjects, Size(3_780.0, 0.7, 11_300.0)),
    ),
    ownTokens = Size(2_890.0, 1.0, 39_600.0),
    events = Size(10.4, 1.4, 41.7),
    targetMs = 500,
    eventGapMs = 300,
    deadlineMs = 5_000,
    priority = 1,
    worth = 2.8,
    lateWorth = 0.82,
)

private fun greetings(
    name: String,
    perSecond: Double,
    subjects: Int,
) = PromptClass(
    name,
    perSecond,
    listOf(SharedPart(8, Size(210.0, 0.4, 524.0)), SharedPart(subjects, Size(140.0, 0.7, 419.0))),
    ownTokens = Size(1_110.0, 1.0, 3_790.0),
    events = Size(34.5, 0.89, 120.0),
    targetMs = 300,
    eventGapMs = 200,
    deadlineMs = 10_000,
    priority = 0,
    worth = 1.2,
    lateWorth = 0.11,
)

/** Requests a second of a site's three classes of streams. */
private data class Rates(
    val long: Double,
    val middle: Double,
    val short: Double,
)

private fun carriage(rates: Rates) =
    listOf(
        guides("guide", rates.long),
        questions("question", rates.middle, subjects = 56),
        greetings("greeting", rates.short, subjects = 197),
    )

private fun association(rates: Rates) =
    listOf(
        guides("dossier", rates.long),
        questions("draft", rates.middle, subjects = 127),
        greetings("question", rates.short, subjects = 295),
    )

/** The association after it has grown to several times the engines and subjects. */
private fun grownAssociation(rates: Rates) =
    listOf(
        guides("dossier", rates.long, subjects = 357).copy(events = Size(20.0, 1.4, 79.8), eventGapMs = 1_000),
        questions("draft", rates.middle, subjects = 269).copy(events = Size(8.7, 1.4, 34.7), eventGapMs = 400),
        greetings("question", rates.short, subjects = 624).copy(events = Size(28.7, 0.89, 100.0), eventGapMs = 250),
    )

/** Two bursts of long prompts and one of short ones. */
private fun bursts(
    long: String,
    short: String,
) = listOf(
    Burst(long, 2.3, fromMs = 500, forMs = 9_000),
    Burst(short, 1.9, fromMs = 11_000, forMs = 5_000),
    Burst(long, 1.8, fromMs = 17_500, forMs = 4_500),
)

/** The bench goes on after the last burst, through the recovery from the day's end. */
private const val HIGH_LOAD_MS = 52_000L

private val carriageEngine = EngineFigures(memoryTokens = 647_156)
private val associationEngine = EngineFigures(memoryTokens = 604_279)

/** All scenarios with the platform's engines. */
val promptScenarios =
    listOf(
        PromptScenario(
            "prompts-calm-carriage",
            "8 engines with prefix caches, a calm load from a cold start",
            engines = 8,
            carriageEngine,
            carriage(Rates(10.7, 5.7, 17.0)),
        ),
        PromptScenario(
            "prompts-burst-carriage",
            "more load and bursts of guides and greetings",
            engines = 8,
            carriageEngine,
            carriage(Rates(11.8, 10.5, 22.7)),
            bursts("guide", "greeting"),
            durationMs = HIGH_LOAD_MS,
        ),
        PromptScenario(
            "prompts-calm-association",
            "13 engines with prefix caches, a calm load from a cold start",
            engines = 13,
            associationEngine,
            association(Rates(16.7, 12.6, 29.2)),
        ),
        PromptScenario(
            "prompts-burst-association",
            "more load and bursts of dossiers and questions",
            engines = 13,
            associationEngine,
            association(Rates(18.4, 15.8, 34.2)),
            bursts("dossier", "question"),
            durationMs = HIGH_LOAD_MS,
        ),
        PromptScenario(
            "prompts-burst-many-entries",
            "27 engines behind 21 entries, bursts of dossiers and questions, a quarter of the engines crashes",
            engines = 27,
            EngineFigures(memoryTokens = 604_170, tokensPerEvent = 6),
            grownAssociation(Rates(50.0, 29.0, 67.0)),
            listOf(
                Burst("dossier", 2.56, fromMs = 500, forMs = 9_000),
                Burst("question", 2.43, fromMs = 11_000, forMs = 5_000),
                Burst("dossier", 2.3, fromMs = 17_500, forMs = 3_500),
            ),
            entries = 21,
            faults = EngineFaults(listOf(Crash(count = 7, atMs = 9_500, forMs = 2_000))),
            callers = Callers(returnWhenRefused = true),
        ),
    )
