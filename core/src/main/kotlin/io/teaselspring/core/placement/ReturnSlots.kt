/*
 * When refused callers should come back: when the backlog of their priority will have drained at the rate of the last
 * seconds, each in a later slot, so that they do not return together.
 */
package io.teaselspring.core.placement

/** The slots of one queue. Times are monotonic milliseconds. Not thread-safe. */
public class ReturnSlots {
    private val byPriority = HashMap<Int, PrioritySlots>()

    /** Records that a request of [priority] was sent to an instance at [nowMs]. */
    public fun recordStart(
        priority: Int,
        nowMs: Long,
    ) {
        byPriority.getOrPut(priority) { PrioritySlots() }.starts.record(nowMs)
    }

    /** Starts of requests of [priority] in a second, or null if there was none in the last seconds. */
    public fun startsPerSecond(
        priority: Int,
        nowMs: Long,
    ): Double? = byPriority[priority]?.starts?.perSecond(nowMs)

    /**
     * Returns after how many milliseconds a refused caller of [priority] should come back while [waiting] requests of
     * that priority wait: in a free slot, at least [MIN_DELAY_MS], at most a third of the [remainingMs] that the caller
     * still waits. Null if nothing is known of the rate. If no slot is free by then, callers are spread over the second
     * half of that time.
     */
    public fun delayMs(
        priority: Int,
        waiting: Int,
        remainingMs: Long,
        nowMs: Long,
    ): Long? {
        val perSecond = startsPerSecond(priority, nowMs) ?: return null
        return byPriority.getValue(priority).takeSlot(waiting, perSecond, remainingMs / RETRY_AFTER_PART, nowMs)
    }

    private class PrioritySlots {
        val starts = StartRate()
        private var nextSlotMs = 0.0
        private var spreadPhase = 0.0

        fun takeSlot(
            waiting: Int,
            perSecond: Double,
            usableMs: Long,
            nowMs: Long,
        ): Long {
            val slotMs = maxOf(nowMs + maxOf(waiting * MS_PER_S / perSecond, MIN_DELAY_MS), nextSlotMs)
            val delayMs =
                if (slotMs - nowMs <= usableMs) {
                    nextSlotMs = slotMs + MS_PER_S / (perSecond * RETURN_SHARE)
                    slotMs - nowMs
                } else {
                    spreadPhase = (spreadPhase + GOLDEN_RATIO) % 1
                    usableMs * (1 - spreadPhase / 2)
                }
            return delayMs.toLong().coerceAtLeast(1)
        }
    }

    private companion object {
        const val MS_PER_S = 1_000.0
        const val MIN_DELAY_MS = 100.0

        /** Callers honour a `Retry-After` of at most this part of their remaining time. */
        const val RETRY_AFTER_PART = 3

        /** Share of the starts that is planned for returning callers: new requests arrive meanwhile. */
        const val RETURN_SHARE = 0.5

        /** Its multiples modulo 1 are spread evenly, however many there are. */
        const val GOLDEN_RATIO = 0.618034
    }
}

/** Rate of the starts within the last seconds, in buckets of [BUCKET_MS]. */
private class StartRate {
    private val counts = IntArray(BUCKETS)
    private var lastBucket = Long.MIN_VALUE
    private var firstMs = 0L
    private var total = 0

    fun record(nowMs: Long) {
        moveTo(nowMs)
        if (total == 0) firstMs = nowMs
        counts[Math.floorMod(lastBucket, BUCKETS)] += 1
        total += 1
    }

    fun perSecond(nowMs: Long): Double? {
        moveTo(nowMs)
        if (total == 0) return null
        // The newest bucket is part of the window only so far.
        val windowMs = (BUCKETS - 1) * BUCKET_MS + Math.floorMod(nowMs, BUCKET_MS)
        return total * MS_PER_S / (nowMs - firstMs).coerceIn(MIN_WINDOW_MS, windowMs)
    }

    private fun moveTo(nowMs: Long) {
        val bucket = Math.floorDiv(nowMs, BUCKET_MS)
        if (lastBucket == Long.MIN_VALUE) lastBucket = bucket
        repeat(minOf(bucket - lastBucket, BUCKETS.toLong()).toInt()) { step ->
            val index = Math.floorMod(lastBucket + 1 + step, BUCKETS)
            total -= counts[index]
            counts[index] = 0
        }
        lastBucket = maxOf(lastBucket, bucket)
    }

    private companion object {
        const val BUCKET_MS = 250L
        const val BUCKETS = 12

        /** A burst of starts after a pause is no rate. */
        const val MIN_WINDOW_MS = 1_000L
        const val MS_PER_S = 1_000.0
    }
}
