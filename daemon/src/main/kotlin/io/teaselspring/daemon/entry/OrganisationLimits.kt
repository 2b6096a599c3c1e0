/*
 * Limits of organisations on requests per second and at once. They hold across all entries; each entry enforces its
 * share, because the load balancer spreads callers evenly and asking other entries would cost a round trip per
 * request.
 */
package io.teaselspring.daemon.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.config.Organisation
import io.teaselspring.daemon.MonotonicMs
import io.teaselspring.daemon.config.Caller
import kotlin.math.ceil

private const val MS_PER_SECOND = 1000.0
private const val BUSY_RETRY_MS = 1_000L

/** Usage of one organisation on this entry. [tokens] is what it may start at once, as of [atMs]. */
private class OrganisationUse(
    var tokens: Double,
    var atMs: Long,
    var running: Int = 0,
)

/** The limits in [organisations], shared by [entryCount] entries. All functions may be called from any thread. */
internal class OrganisationLimits(
    private val organisations: () -> Map<OrganisationId, Organisation>,
    private val entryCount: () -> Int,
    private val nowMs: MonotonicMs,
) {
    private val uses = HashMap<OrganisationId, OrganisationUse>()

    /** Admits a request of [caller], or says when to retry; the returned function ends the request. */
    @Synchronized
    fun admit(caller: Caller?): Either<Refusal, () -> Unit> {
        val id = caller?.organisation ?: return {}.right()
        val limits = organisations()[id] ?: return {}.right()
        val entries = maxOf(1, entryCount())
        val perSecond = limits.requestsPerSecond?.div(entries)
        val atOnce = limits.maxConcurrent?.let { ceil(it.toDouble() / entries).toInt() }
        val use = uses.getOrPut(id) { OrganisationUse(burst(perSecond), nowMs()) }
        use.refill(perSecond)
        return when {
            perSecond != null && use.tokens < 1 ->
                limited("requests per second", ((1 - use.tokens) / perSecond * MS_PER_SECOND).toLong()).left()
            atOnce != null && use.running >= atOnce -> limited("requests at once", BUSY_RETRY_MS).left()
            else -> {
                if (perSecond != null) use.tokens -= 1
                use.running += 1
                release(use).right()
            }
        }
    }

    private fun release(use: OrganisationUse): () -> Unit = { synchronized(this) { use.running -= 1 } }

    private fun OrganisationUse.refill(perSecond: Double?) {
        val now = nowMs()
        if (perSecond != null) {
            tokens = minOf(burst(perSecond), tokens + (now - atMs) * perSecond / MS_PER_SECOND)
        }
        atMs = now
    }

    /** One second's worth, and at least one request. */
    private fun burst(perSecond: Double?) = maxOf(1.0, perSecond ?: 1.0)
}

private fun limited(
    what: String,
    retryAfterMs: Long,
) = Refusal(429, "rate_limited", "the organisation's limit on $what is reached", retryAfterMs = retryAfterMs)
