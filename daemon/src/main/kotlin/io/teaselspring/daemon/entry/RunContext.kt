/*
 * Dependencies shared by all requests that run on one entry, and the interfaces for retry permits and metrics.
 */
package io.teaselspring.daemon.entry

import io.teaselspring.core.DataCentre
import io.teaselspring.core.KeyId
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.dispatch.DispatchAction
import io.teaselspring.daemon.MonotonicMs

/** Grants retries within the retry budget of one entry. */
interface RetryPermits {
    /** Spends one retry for a request of [organisation]; returns false if the budget is exhausted. */
    fun trySpend(organisation: OrganisationId?): Boolean

    /** Counts a request of [organisation] whose response was complete. */
    fun recordSuccess(organisation: OrganisationId?)
}

/** Receives request events for metrics. Implementations must not block. */
internal interface RequestObserver {
    fun onOffer(
        request: RoutedRequest,
        offer: DispatchAction.Offer,
    ) = Unit

    fun onFirstToken(
        request: RoutedRequest,
        durationMs: Long,
    ) = Unit

    /** The request ended with [status], after [durationMs]; [refusal] is null if the response was complete. */
    fun onEnd(
        request: RoutedRequest,
        status: Int,
        refusal: Refusal?,
        durationMs: Long,
    ) = Unit
}

/** Dependencies shared by all requests that run on one entry. [random] returns a uniform integer below its argument. */
internal class RunContext(
    val localDataCentre: DataCentre,
    val pool: AgentPool,
    val inboxes: Inboxes,
    val retries: RetryPermits,
    val withdrawnKeys: () -> Set<KeyId>,
    val streamIdleMs: Long,
    val nowMs: MonotonicMs,
    val random: (Int) -> Int,
    val observer: RequestObserver,
)
