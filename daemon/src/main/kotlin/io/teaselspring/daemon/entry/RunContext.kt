/*
 * What the runs of requests on one entry share.
 */
package io.teaselspring.daemon.entry

import io.teaselspring.core.DataCentre
import io.teaselspring.core.KeyId
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.dispatch.DispatchAction
import io.teaselspring.daemon.MonotonicMs

/** The budget of retries of one entry. */
interface Retries {
    /** Takes one retry for a request of [organisation]; false when the budget is spent. */
    fun spend(organisation: OrganisationId?): Boolean

    /** Counts a request of [organisation] that was answered in full. */
    fun succeeded(organisation: OrganisationId?)
}

/** Learns what happens to requests, for metrics. Calls must not block. */
internal interface RequestObserver {
    fun offered(
        request: RoutedRequest,
        offer: DispatchAction.Offer,
    ) = Unit

    fun firstToken(
        request: RoutedRequest,
        tookMs: Long,
    ) = Unit

    /** The request ended with [status], after [tookMs]; [refusal] is null if the response was whole. */
    fun ended(
        request: RoutedRequest,
        status: Int,
        refusal: Refusal?,
        tookMs: Long,
    ) = Unit
}

/** What the runs of requests on one entry share. [random] gives a uniform integer below its argument. */
internal class RunContext(
    val localDataCentre: DataCentre,
    val pool: AgentPool,
    val inboxes: Inboxes,
    val retries: Retries,
    val withdrawnKeys: () -> Set<KeyId>,
    val streamIdleMs: Long,
    val nowMs: MonotonicMs,
    val random: (Int) -> Int,
    val observer: RequestObserver,
)
