/*
 * Classes of requests that several tests use.
 */
package io.teaselspring.experiment.prompts

/** Long prompts of one of [subjects], which the slower of two latency groups serves. */
internal fun reports(
    perSecond: Double,
    subjects: Int,
    meanEvents: Double,
) = PromptClass(
    "report",
    perSecond,
    listOf(SharedPart(subjects, Size(10_000.0, 0.5, 30_000.0))),
    ownTokens = Size(3_000.0, 0.8, 20_000.0),
    events = Size(meanEvents, 1.0, 80.0),
    targetMs = 1_500,
    eventGapMs = 1_000,
    deadlineMs = 8_000,
    priority = 1,
    worth = 1.0,
    lateWorth = 0.3,
)
