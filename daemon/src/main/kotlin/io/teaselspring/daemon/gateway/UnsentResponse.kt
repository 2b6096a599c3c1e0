/*
 * What of the responses on a connection has not been written to its socket, because the caller reads slowly.
 */
package io.teaselspring.daemon.gateway

import io.netty.channel.Channel
import io.netty.channel.nio.AbstractNioChannel.NioUnsafe

/** Follows the bytes that wait in the buffer of one connection. */
internal class UnsentResponse {
    private var unsentBytes = 0L
    private var changedAtMs = 0L

    /**
     * Whether bytes wait in [channel] of which the caller has read some in the last [maxPauseMs]. First writes what the
     * socket takes: the kernel reports room only when a large part of its send buffer is free, which can take a steady
     * but slow caller longer than [maxPauseMs].
     */
    fun isRead(
        channel: Channel,
        nowMs: Long,
        maxPauseMs: Long,
    ): Boolean {
        val unsafe = channel.unsafe() as NioUnsafe
        // flush() does nothing while the channel waits for that report.
        if (unsafe.outboundBuffer()?.isEmpty == false) unsafe.forceFlush()
        val buffer = unsafe.outboundBuffer() ?: return false
        val bytes = buffer.totalPendingWriteBytes() - buffer.currentProgress()
        if (bytes != unsentBytes) {
            unsentBytes = bytes
            changedAtMs = nowMs
        }
        return buffer.size() > 0 && nowMs - changedAtMs <= maxPauseMs
    }
}
