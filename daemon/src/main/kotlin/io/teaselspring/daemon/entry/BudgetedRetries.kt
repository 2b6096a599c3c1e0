/*
 * The retry budget of an entry, shared by its requests.
 */
package io.teaselspring.daemon.entry

import io.teaselspring.core.OrganisationId
import io.teaselspring.core.retry.RetryBudget
import io.teaselspring.daemon.MonotonicMs

/** [Retries] by a [RetryBudget], which is not thread-safe by itself. */
internal class BudgetedRetries(
    private val nowMs: MonotonicMs,
    private val budget: RetryBudget = RetryBudget(),
) : Retries {
    @Synchronized
    override fun spend(organisation: OrganisationId?): Boolean = budget.spend(organisation, nowMs())

    @Synchronized
    override fun succeeded(organisation: OrganisationId?) = budget.succeeded(organisation, nowMs())
}
