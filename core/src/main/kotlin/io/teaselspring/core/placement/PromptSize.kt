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

    /** This average after one more prompt of [size]. */
    fun movedTowards(size: PromptSize) =
        PromptSize(
            unsharedTokens + (size.unsharedTokens - unsharedTokens) * WEIGHT,
            promptTokens + (size.promptTokens - promptTokens) * WEIGHT,
        )

    private companion object {
        const val WEIGHT = 0.05
    }
}
