/*
 * Rate limiting per organisation: a token bucket for requests per second and a limit on concurrent requests. Limits
 * apply to all entries together. Each entry enforces an equal share locally, because the load balancer spreads callers
 * evenly and coordination with other entries would cost a round trip per request.
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

/** Usage of one organisation on this entry. [tokens] is the number of requests it may start, as of [refilledAtMs]. */
private class OrganisationUsage(
    var tokens: Double,
    var refilledAtMs: Long,
    var running: Int = 0,
)

/** The limits in [organisations], shared by [entryCount] entries. Thread-safe. */
internal class OrganisationLimits(
    private val organisations: () -> Map<OrganisationId, Organisation>,
    private val entryCount: () -> Int,
    private val nowMs: MonotonicMs,
) {
    private val usages = HashMap<OrganisationId, OrganisationUsage>()

    /** Admits a request of [caller] or refuses it with a retry delay; the returned function must run at its end. */
    @Synchronized
    fun admit(caller: Caller?): Either<Refusal, () -> Unit> {
        val id = caller?.organisation ?: return {}.right()
        val limits = organisations()[id] ?: return {}.right()
        val entries = maxOf(1, entryCount())
        val perSecond = limits.requestsPerSecond?.div(entries)
        val maxConcurrent = limits.maxConcurrent?.let { ceil(it.toDouble() / entries).toInt() }
        val usage = usages.getOrPut(id) { OrganisationUsage(burst(perSecond), nowMs()) }
        usage.refill(perSecond)
        return when {
            perSecond != null && usage.tokens < 1 ->
                rateLimited("requests per second", ((1 - usage.tokens) / perSecond * MS_PER_SECOND).toLong()).left()
            maxConcurrent != null && usage.running >= maxConcurrent ->
                rateLimited("requests at once", BUSY_RETRY_MS).left()
            else -> {
                if (perSecond != null) usage.tokens -= 1
                usage.running += 1
                releaseOf(usage).right()
            }
        }
    }

    private fun releaseOf(usage: OrganisationUsage): () -> Unit = { synchronized(this) { usage.running -= 1 } }

    private fun OrganisationUsage.refill(perSecond: Double?) {
        val now = nowMs()
        if (perSecond != null) {
            tokens = minOf(burst(perSecond), tokens + (now - refilledAtMs) * perSecond / MS_PER_SECOND)
        }
        refilledAtMs = now
    }

    /** Bucket capacity: the requests of one second, at least one. */
    private fun burst(perSecond: Double?) = maxOf(1.0, perSecond ?: 1.0)
}

private fun rateLimited(
    what: String,
    retryAfterMs: Long,
) = Refusal(429, "rate_limited", "the organisation's limit on $what is reached", retryAfterMs = retryAfterMs)
