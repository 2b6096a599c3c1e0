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
internal data class Rates(
    val long: Double,
    val middle: Double,
    val short: Double,
) {
    operator fun times(factor: Double) = Rates(long * factor, middle * factor, short * factor)
}

internal fun carriage(rates: Rates) =
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
internal fun grownAssociation(rates: Rates) =
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

internal val carriageEngine = EngineFigures(memoryTokens = 647_156)
private val associationEngine = EngineFigures(memoryTokens = 604_279)

/** The co-operative's fleet: fast prefill, few slots, and most of its requests urgent and short. */
private fun cooperative(
    rates: Rates,
    subjects: Int,
    longEvents: Double,
    chatEvents: Double,
    labelEvents: Double,
) = listOf(
    PromptClass(
        "sheet",
        rates.long,
        listOf(SharedPart(1, Size(512.0, 0.4, 1_280.0)), SharedPart(subjects, Size(4_870.0, 0.7, 14_600.0))),
        ownTokens = Size(6_610.0, 1.4, 54_600.0),
        events = Size(longEvents, 0.44, longEvents * 3),
        targetMs = 1_200,
        eventGapMs = 500,
        deadlineMs = 12_000,
        priority = 2,
        worth = 1.7,
        lateWorth = 0.52,
    ),
    PromptClass(
        "chat",
        rates.short,
        listOf(SharedPart(80, Size(119.0, 0.4, 298.0)), SharedPart(subjects * 2, Size(79.4, 0.7, 238.0))),
        ownTokens = Size(628.0, 1.0, 3_310.0),
        events = Size(chatEvents, 0.69, chatEvents * 3.3),
        targetMs = 200,
        eventGapMs = 120,
        deadlineMs = 10_000,
        priority = 0,
        worth = 4.0,
        lateWorth = 0.36,
    ),
    PromptClass(
        "label",
        rates.middle,
        listOf(SharedPart(16, Size(341.0, 0.4, 851.0)), SharedPart(subjects * 3, Size(227.0, 0.7, 681.0))),
        ownTokens = Size(1_800.0, 1.3, 6_870.0),
        events = Size(labelEvents, 1.4, labelEvents * 4),
        targetMs = 250,
        eventGapMs = 200,
        deadlineMs = 2_500,
        priority = 1,
        worth = 0.69,
        lateWorth = 0.2,
    ),
)

private fun fastEngine(
    memoryTokens: Long,
    slots: Int,
    tokensPerEvent: Int,
) = EngineFigures(
    memoryTokens,
    slots,
    queueLimit = slots * 2,
    stepMs = 3.55,
    stepMsPerRequest = 0.0462,
    stepMsPerThousandTokens = 0.00115,
    promptTokensPerMs = 157.0,
    msPerMillionPairs = 0.109,
    chunkTokens = 1_024,
    tokensPerEvent,
)

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
        PromptScenario(
            "prompts-burst-few-slots",
            "8 engines of 48 slots, bursts of long prompts and of chats, a quarter of the engines crashes",
            engines = 8,
            fastEngine(memoryTokens = 928_084, slots = 48, tokensPerEvent = 6),
            cooperative(
                Rates(22.0, 41.0, 26.0),
                subjects = 200,
                longEvents = 64.0,
                chatEvents = 49.0,
                labelEvents = 4.0,
            ),
            listOf(
                Burst("sheet", 2.3, fromMs = 500, forMs = 9_000),
                Burst("chat", 2.0, fromMs = 11_000, forMs = 5_000),
                Burst("sheet", 1.9, fromMs = 17_500, forMs = 4_500),
            ),
            entries = 4,
            faults = EngineFaults(listOf(Crash(count = 2, atMs = 9_500, forMs = 2_000))),
            callers = Callers(returnWhenRefused = true),
        ),
        PromptScenario(
            "prompts-burst-few-slots-many-entries",
            "31 engines of 32 slots behind 24 entries, bursts of long prompts and of chats, a quarter crashes",
            engines = 31,
            fastEngine(memoryTokens = 806_247, slots = 32, tokensPerEvent = 8),
            cooperative(
                Rates(99.0, 148.0, 77.6),
                subjects = 472,
                longEvents = 48.0,
                chatEvents = 36.0,
                labelEvents = 2.8,
            ),
            listOf(
                Burst("sheet", 2.43, fromMs = 500, forMs = 9_000),
                Burst("chat", 2.43, fromMs = 11_000, forMs = 5_000),
                Burst("sheet", 2.3, fromMs = 17_500, forMs = 3_500),
            ),
            entries = 24,
            faults = EngineFaults(listOf(Crash(count = 8, atMs = 9_500, forMs = 2_000))),
            callers = Callers(returnWhenRefused = true),
        ),
    )
