/*
 * Budget of retries. Retries are limited to a share of recent successes, for the whole entry and for each
 * organisation, so that a partial outage does not multiply the load on what is left and one organisation cannot use
 * up the budget.
 */
package io.teaselspring.core.retry

import io.teaselspring.core.OrganisationId

/**
 * Counts successes and retries over a sliding window of [windowMs]. In a window the entry and each organisation may
 * retry [sharePct] percent of their successes, and at least [minimum] times. Not thread-safe.
 */
public class RetryBudget(
    private val sharePct: Int = 10,
    private val minimum: () -> Int = { 3 },
    private val windowMs: Long = 10_000,
) {
    private val entry = Window(windowMs)
    private val organisations = LinkedHashMap<OrganisationId?, Window>()

    /** Number of organisations with a success or retry in the last two windows. */
    public val size: Int get() = organisations.size

    /** Records a request that was answered in full. */
    public fun succeeded(
        organisation: OrganisationId?,
        nowMs: Long,
    ) {
        entry.at(nowMs).successes += 1
        windowOf(organisation, nowMs).successes += 1
    }

    /** Takes one retry for [organisation]; false when its budget or that of the entry is spent. */
    public fun spend(
        organisation: OrganisationId?,
        nowMs: Long,
    ): Boolean {
        val own = windowOf(organisation, nowMs)
        if (!allows(entry, nowMs) || !allows(own, nowMs)) return false
        entry.at(nowMs).retries += 1
        own.at(nowMs).retries += 1
        return true
    }

    private fun allows(
        window: Window,
        nowMs: Long,
    ) = window.totalRetries(nowMs) < maxOf(minimum(), window.totalSuccesses(nowMs) * sharePct / 100)

    /** The window of [organisation], moved to the end so that the longest unused one is first. */
    private fun windowOf(
        organisation: OrganisationId?,
        nowMs: Long,
    ): Window {
        val window = organisations.remove(organisation) ?: Window(windowMs)
        organisations[organisation] = window
        val oldest = organisations.values.iterator()
        if (oldest.next().lastUsedMs + 2 * windowMs < nowMs) oldest.remove()
        window.lastUsedMs = nowMs
        window.at(nowMs)
        return window
    }
}

/** Two adjacent halves of the window; the older one counts in full until it is replaced. */
private class Window(
    windowMs: Long,
) {
    private val halfMs = maxOf(1L, windowMs / 2)
    private var half = 0L
    private var olderSuccesses = 0
    private var olderRetries = 0
    var successes = 0
    var retries = 0
    var lastUsedMs = Long.MAX_VALUE / 2

    fun at(nowMs: Long): Window {
        val current = nowMs / halfMs
        if (current != half) {
            olderSuccesses = if (current == half + 1) successes else 0
            olderRetries = if (current == half + 1) retries else 0
            successes = 0
            retries = 0
            half = current
        }
        return this
    }

    fun totalSuccesses(nowMs: Long) = at(nowMs).run { olderSuccesses + successes }

    fun totalRetries(nowMs: Long) = at(nowMs).run { olderRetries + retries }
}
