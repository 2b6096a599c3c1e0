/*
 * The shares of instances that the latency groups of each upstream have at this entry. Those of adaptive upstreams come
 * from rows that the holder of the usage lease writes and all entries follow.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.UpstreamName
import io.teaselspring.core.capacity.SharesInForce
import io.teaselspring.core.decode.decodeOrNull
import io.teaselspring.core.placement.GroupShares
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.encodeToJsonElement
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.gateway")

/** Prefix of the keys of shares; the rest is the name of the upstream. */
internal const val GROUPS_KEY_PREFIX = "groups/"

/** The shares in force. Those of upstreams that are not adaptive, as [isAdaptive] tells, are fixed. */
internal class GroupShareState(
    val isAdaptive: (UpstreamName) -> Boolean,
) {
    private val byUpstream = HashMap<UpstreamName, SharesInForce>()

    fun of(upstream: UpstreamName): GroupShares =
        if (isAdaptive(upstream)) followed(upstream).shares else GroupShares.FIXED

    /** The shares of an adaptive [upstream]. Without any row the initial ones are in force, which need none. */
    fun followed(upstream: UpstreamName): SharesInForce =
        byUpstream[upstream] ?: SharesInForce(GroupShares.INITIAL, isStored = true)

    /** All rows of the table. Shares whose row the store has lost stay in force, and are published again. */
    fun replaceAll(rows: Map<UpstreamName, GroupShares?>) = apply(byUpstream.keys.associateWith { null } + rows)

    /** Applies [changes] of rows; null for one that was deleted or is unreadable, which changes no shares. */
    fun apply(changes: Map<UpstreamName, GroupShares?>) {
        for ((upstream, shares) in changes) {
            val before = followed(upstream)
            if (shares == null) {
                log.warn("event=group_shares_ignored upstream={} reason=\"row missing or unreadable\"", upstream)
            } else if (shares != before.shares) {
                log.info(
                    "event=group_shares_changed upstream={} shares={} before={}",
                    upstream,
                    shares.fractions,
                    before.shares.fractions,
                )
            }
            byUpstream[upstream] = SharesInForce(shares ?: before.shares, isStored = shares != null)
        }
    }
}

@Serializable
private data class SharesRow(
    val shares: List<Double>,
    val epoch: Long? = null,
)

private val sharesJson = Json { ignoreUnknownKeys = true }

/** The row of [shares], published by the holder of the usage lease in [epoch]. */
internal fun encodeShares(
    shares: GroupShares,
    epoch: Long,
): JsonElement = sharesJson.encodeToJsonElement(SharesRow(shares.fractions, epoch))

/** Decodes a row of shares; null if it is unreadable or a share is not between 0 and 1. */
internal fun decodeShares(text: String): GroupShares? =
    decodeOrNull { sharesJson.decodeFromString<SharesRow>(text) }
        ?.shares
        ?.takeIf { shares -> shares.isNotEmpty() && shares.all { it in 0.0..1.0 } }
        ?.let(::GroupShares)
