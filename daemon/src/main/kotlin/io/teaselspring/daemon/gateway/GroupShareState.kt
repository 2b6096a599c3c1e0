/*
 * The shares of instances that the latency groups of each upstream have at this entry.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.UpstreamName
import io.teaselspring.core.placement.GroupShares

/** The shares in force. Those of upstreams that are not adaptive, as [isAdaptive] tells, are fixed. */
internal class GroupShareState(
    val isAdaptive: (UpstreamName) -> Boolean,
) {
    fun of(upstream: UpstreamName): GroupShares = if (isAdaptive(upstream)) GroupShares.INITIAL else GroupShares.FIXED
}
