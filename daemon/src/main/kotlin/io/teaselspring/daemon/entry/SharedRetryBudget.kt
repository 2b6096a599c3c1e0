/*
 * Retry budget of an entry, shared by its requests.
 */
package io.teaselspring.daemon.entry

import io.teaselspring.core.OrganisationId
import io.teaselspring.core.retry.RetryBudget
import io.teaselspring.daemon.MonotonicMs

/** [RetryPermits] from a [RetryBudget], with the locking that the budget itself lacks. */
internal class SharedRetryBudget(
    private val nowMs: MonotonicMs,
    private val budget: RetryBudget = RetryBudget(),
) : RetryPermits {
    @Synchronized
    override fun trySpend(organisation: OrganisationId?): Boolean = budget.spend(organisation, nowMs())

    @Synchronized
    override fun recordSuccess(organisation: OrganisationId?) = budget.succeeded(organisation, nowMs())
}
