/*
 * Bound on the bytes that an entry keeps: request bodies until their requests have ended, and responses that are
 * received whole until they are written out. Without it many large bodies at once exhaust the memory of the process,
 * and every read on the event loop waits for memory.
 */
package io.teaselspring.daemon.gateway

import io.netty.util.internal.PlatformDependent

/**
 * At most [limitBytes] for all shares together. A share of up to [SMALL_SHARE_BYTES] may take from a further
 * [reserveBytes], so that small requests are served while large ones wait. Not thread-safe.
 */
class ByteBudget(
    private val limitBytes: Long,
    private val reserveBytes: Long = limitBytes / 8,
) {
    /** Bytes of all shares. */
    var usedBytes = 0L
        private set

    /** The bytes of one request or response. */
    inner class Share {
        private var bytes = 0L

        /** Adds [count] bytes; returns false and adds nothing if they do not fit. */
        fun grow(count: Long): Boolean {
            val isSmall = bytes + count <= SMALL_SHARE_BYTES
            if (usedBytes + count > if (isSmall) limitBytes + reserveBytes else limitBytes) return false
            bytes += count
            usedBytes += count
            return true
        }

        /** Gives all bytes back; may be called more than once. */
        fun release() {
            usedBytes -= bytes
            bytes = 0
        }
    }

    companion object {
        const val SMALL_SHARE_BYTES = 64L * 1024

        /**
         * The budget of this process: half of its direct memory, which sockets read into, and less than a third of its
         * heap, in which a response takes up to twice its size while it grows.
         */
        fun ofProcess(): ByteBudget =
            ByteBudget(minOf(PlatformDependent.maxDirectMemory() / 2, Runtime.getRuntime().maxMemory() * 3 / 10))
    }
}
