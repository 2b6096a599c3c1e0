/*
 * Bound on the bytes that an entry keeps: request bodies until their requests have ended, responses that are received
 * whole until they are written out, and what streams keep for their callers. Without it many large bodies at once
 * exhaust the memory of the process, and every read on the event loop waits for memory.
 */
package io.teaselspring.daemon.gateway

import io.netty.util.internal.PlatformDependent

/**
 * At most [limitBytes] for all shares together. A share of up to [SMALL_SHARE_BYTES] may take from a further
 * [reserveBytes], so that small requests are served while large ones wait. Streams end up in the first half of the
 * reserve, as their bytes have arrived before they are counted. Not thread-safe.
 */
class ByteBudget(
    private val limitBytes: Long,
    private val reserveBytes: Long = limitBytes / 8,
) {
    /** Bytes of all shares. */
    var usedBytes = 0L
        private set

    private var pressure = MemoryPressure.NONE

    /** The streams in progress, which wait or go on as the pressure changes. */
    internal val streams = LinkedHashSet<StreamShare>()

    /** Bytes of unfinished events, which only come back when more of them arrives. */
    internal var partialBytes = 0L
    internal val maxPartialBytes get() = limitBytes / 4

    /**
     * Whether a stream may read more. While memory is short only one that [isIdle] may: its caller has read all, so its
     * bytes come back at once if the caller keeps reading.
     */
    internal fun mayRead(isIdle: Boolean) =
        pressure == MemoryPressure.NONE || (pressure < MemoryPressure.FULL && isIdle)

    /** The bytes of one request, response or stream. */
    inner class Share {
        private var bytes = 0L

        /** Adds [count] bytes; returns false and adds nothing if they do not fit. */
        fun grow(count: Long): Boolean {
            val isSmall = bytes + count <= SMALL_SHARE_BYTES
            if (usedBytes + count > if (isSmall) limitBytes + reserveBytes else limitBytes) return false
            add(count)
            return true
        }

        /** Adds [count] bytes that are kept already, or gives some back. */
        internal fun add(count: Long) {
            bytes += count
            usedBytes += count
            updatePressure()
        }

        /** Gives all bytes back; may be called more than once. */
        fun release() = add(-bytes)
    }

    /** Streams wait on the bound, and go on when a part of the reserve is free below it. */
    private fun updatePressure() {
        val now = pressureOf(usedBytes)
        val next = if (now < pressure) minOf(pressure, pressureOf(usedBytes + reserveBytes / 4)) else now
        if (next == pressure) return
        pressure = next
        streams.forEach { it.update() }
    }

    private fun pressureOf(bytes: Long) =
        when {
            bytes > limitBytes + reserveBytes / 2 -> MemoryPressure.FULL
            bytes > limitBytes -> MemoryPressure.SHORT
            else -> MemoryPressure.NONE
        }

    private enum class MemoryPressure { NONE, SHORT, FULL }

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
