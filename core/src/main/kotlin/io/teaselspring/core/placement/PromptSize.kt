/*
 * Size of a prompt, and the moving average of the sizes of a latency group.
 */
package io.teaselspring.core.placement

/** [unsharedTokens] of the request's own part, and [promptTokens] of all parts. */
internal data class PromptSize(
    val unsharedTokens: Double,
    val promptTokens: Double,
) {
    constructor(unsharedTokens: Long, promptTokens: Long) : this(unsharedTokens.toDouble(), promptTokens.toDouble())

    /** This average after one more prompt of [size], of which an outlier counts in part only. */
    fun movedTowards(size: PromptSize) =
        PromptSize(
            moved(unsharedTokens, size.unsharedTokens),
            moved(promptTokens, size.promptTokens),
        )

    private fun moved(
        average: Double,
        tokens: Double,
    ) = average + (minOf(tokens, average * MAX_RATIO + MIN_TOKENS) - average) * WEIGHT

    private companion object {
        const val WEIGHT = 0.05
        const val MAX_RATIO = 8

        /** Lets an average of zero grow. */
        const val MIN_TOKENS = 100
    }
}
