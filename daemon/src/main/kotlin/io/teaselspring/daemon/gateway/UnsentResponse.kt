/*
 * What of the responses on a connection has not been written to its socket, because the caller reads slowly.
 */
package io.teaselspring.daemon.gateway

import io.netty.channel.Channel

/** Follows the bytes that wait in the buffer of one connection. */
internal class UnsentResponse {
    private var unsentBytes = 0L
    private var changedAtMs = 0L

    /** Whether bytes wait in [channel] of which the caller has read some in the last [maxPauseMs]. */
    fun isRead(
        channel: Channel,
        nowMs: Long,
        maxPauseMs: Long,
    ): Boolean {
        val buffer = channel.unsafe().outboundBuffer() ?: return false
        val bytes = buffer.totalPendingWriteBytes() - buffer.currentProgress()
        if (bytes != unsentBytes) {
            unsentBytes = bytes
            changedAtMs = nowMs
        }
        return buffer.size() > 0 && nowMs - changedAtMs <= maxPauseMs
    }
}
