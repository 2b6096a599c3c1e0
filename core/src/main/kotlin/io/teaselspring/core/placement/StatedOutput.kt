/*
 * What a request states about the length of its output.
 */
package io.teaselspring.core.placement

/** The most output tokens of a request, and its estimate of them; null where it states none. */
public data class StatedOutput(
    val maxTokens: Long? = null,
    val estimatedTokens: Long? = null,
) {
    /** Output tokens to expect: the estimate or else [meanTokens], at most [maxTokens]; 0 if nothing is known. */
    internal fun expectedTokens(meanTokens: Double?): Double {
        val expected = estimatedTokens?.toDouble() ?: meanTokens ?: 0.0
        return if (maxTokens == null) expected else minOf(expected, maxTokens.toDouble())
    }

    public companion object {
        public val UNKNOWN: StatedOutput = StatedOutput()
    }
}
