/*
 * Clock synchronisation with the store: an estimate of the store's monotonic clock from the times in its responses. All
 * processes can compare times of that clock.
 */
package io.teaselspring.core.freshness

import io.teaselspring.core.lease.ClockReading

/**
 * Estimates the store's clock between its responses. The estimate is certain only after a response with a round-trip
 * time of at most [maxRoundTripMs]; a slower one may have waited in a paused process. Not thread-safe.
 */
public class StoreClock(
    private val maxRoundTripMs: Long = 300,
) {
    private data class Sample(
        val storeMs: Long,
        val at: ClockReading,
    ) {
        fun nowMs(now: ClockReading) = storeMs + now.monotonicMs - at.monotonicMs

        fun isStale(now: ClockReading) = now.monotonicMs - at.monotonicMs > MAX_SAMPLE_AGE_MS
    }

    private var bestSample: Sample? = null
    private var lastPromptSample: Sample? = null

    /**
     * Records the store's time [storeMs] in a response that arrived at [receivedAt] to a call sent at [sentAt]. A
     * response that was in flight during a suspension is ignored, because its delay is unknown.
     */
    public fun observe(
        storeMs: Long,
        sentAt: ClockReading,
        receivedAt: ClockReading,
    ) {
        if (!sentAt.isConsistentWith(receivedAt, MAX_CLOCK_DIVERGENCE_MS)) return
        val next = Sample(storeMs, receivedAt)
        val last = bestSample
        val isPrompt = receivedAt.monotonicMs - sentAt.monotonicMs <= maxRoundTripMs
        if (isPrompt) lastPromptSample = next
        // The sample with the shortest delay is the best one, until the clocks may have drifted apart.
        val isBetter =
            last == null ||
                storeMs >= last.nowMs(receivedAt) ||
                !last.at.isConsistentWith(receivedAt, MAX_CLOCK_DIVERGENCE_MS) ||
                (isPrompt && last.isStale(receivedAt))
        if (isBetter) bestSample = next
    }

    /**
     * The estimated store time at [now], or null before the first response. It lags by at most the delay of one
     * response, and by more after a suspension.
     */
    public fun nowMs(now: ClockReading): Long? = bestSample?.nowMs(now)

    /** The store's time at [now], lagging by at most [maxRoundTripMs], or null while that is not certain. */
    public fun certainNowMs(now: ClockReading): Long? =
        lastPromptSample
            ?.takeIf { it.at.isConsistentWith(now, MAX_CLOCK_DIVERGENCE_MS) && !it.isStale(now) }
            ?.nowMs(now)

    private companion object {
        /** In this time, clocks whose rates differ by one part in a thousand drift apart by 10 ms. */
        const val MAX_SAMPLE_AGE_MS = 10_000L
    }
}
