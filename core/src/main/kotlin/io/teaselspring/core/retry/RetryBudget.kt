/*
 * Retry budget. Retries are limited to a percentage of recent successes, for the whole entry and for each organisation.
 * This prevents retries from multiplying the load on the remaining instances in a partial outage, and one organisation
 * from using up the budget of all.
 */
package io.teaselspring.core.retry

import io.teaselspring.core.OrganisationId

/**
 * Counts successes and retries over a sliding window of [windowMs]. Within a window, the retries of the entry and of
 * each organisation are limited to [sharePct] percent of their successes, or to [minimum] if that is more. Not
 * thread-safe.
 */
public class RetryBudget(
    private val sharePct: Int = 10,
    private val minimum: () -> Int = { 3 },
    private val windowMs: Long = 10_000,
) {
    private val entryWindow = Window(windowMs)
    private val organisationWindows = LinkedHashMap<OrganisationId?, Window>()

    /**
     * Number of organisations with counters. Each access removes at most one organisation that has had no access for
     * two windows.
     */
    public val size: Int get() = organisationWindows.size

    /** Records a request of [organisation] whose response was complete. */
    public fun succeeded(
        organisation: OrganisationId?,
        nowMs: Long,
    ) {
        entryWindow.advanceTo(nowMs).successes += 1
        windowOf(organisation, nowMs).successes += 1
    }

    /**
     * Counts one retry against the budgets of [organisation] and of the entry and returns true, or returns false if one
     * of them is exhausted.
     */
    public fun spend(
        organisation: OrganisationId?,
        nowMs: Long,
    ): Boolean {
        val organisationWindow = windowOf(organisation, nowMs)
        if (!hasBudget(entryWindow, nowMs) || !hasBudget(organisationWindow, nowMs)) return false
        entryWindow.advanceTo(nowMs).retries += 1
        organisationWindow.advanceTo(nowMs).retries += 1
        return true
    }

    private fun hasBudget(
        window: Window,
        nowMs: Long,
    ) = window.totalRetries(nowMs) < maxOf(minimum(), window.totalSuccesses(nowMs) * sharePct / 100)

    /**
     * Returns the window of [organisation] and moves it to the end, so that the least recently used one is first.
     * Removes the first one if it has not been used for two windows.
     */
    private fun windowOf(
        organisation: OrganisationId?,
        nowMs: Long,
    ): Window {
        val window = organisationWindows.remove(organisation) ?: Window(windowMs)
        organisationWindows[organisation] = window
        val oldest = organisationWindows.values.iterator()
        if (oldest.next().lastUsedMs + 2 * windowMs < nowMs) oldest.remove()
        window.lastUsedMs = nowMs
        window.advanceTo(nowMs)
        return window
    }
}

/**
 * Sliding window of two buckets, each half as long as the window. The older bucket counts in full until the newer one
 * replaces it.
 */
private class Window(
    windowMs: Long,
) {
    private val bucketMs = maxOf(1L, windowMs / 2)
    private var bucketIndex = 0L
    private var olderSuccesses = 0
    private var olderRetries = 0
    var successes = 0
    var retries = 0

    /**
     * Initially so high that a new window isn't removed as unused; half the range, so that additions don't overflow.
     */
    var lastUsedMs = Long.MAX_VALUE / 2

    /** Replaces the buckets if [nowMs] is in a later one. */
    fun advanceTo(nowMs: Long): Window {
        val currentIndex = nowMs / bucketMs
        if (currentIndex != bucketIndex) {
            olderSuccesses = if (currentIndex == bucketIndex + 1) successes else 0
            olderRetries = if (currentIndex == bucketIndex + 1) retries else 0
            successes = 0
            retries = 0
            bucketIndex = currentIndex
        }
        return this
    }

    fun totalSuccesses(nowMs: Long) = advanceTo(nowMs).run { olderSuccesses + successes }

    fun totalRetries(nowMs: Long) = advanceTo(nowMs).run { olderRetries + retries }
}
