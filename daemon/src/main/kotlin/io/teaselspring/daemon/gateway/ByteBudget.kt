/*
 * Bound on the bytes that an entry keeps: request bodies until their requests have ended, responses that are received
 * whole until they are written out, and what streams keep for their callers. Without it many large bodies at once
 * exhaust the memory of the process, and every read on the event loop waits for memory.
 */
package io.teaselspring.daemon.gateway

import io.netty.util.internal.PlatformDependent
import io.teaselspring.core.OrganisationId

/**
 * At most [limitBytes] for all shares together, and a further [reserveBytes] for what must not wait for them: small
 * requests, and organisations that hold little ([OrganisationBytes] decides). Not thread-safe.
 */
class ByteBudget(
    private val limitBytes: Long,
    private val reserveBytes: Long = limitBytes / 8,
) {
    /** Bytes of all shares. */
    var usedBytes = 0L
        private set

    /** What each organisation holds; null stands for all callers without a known key. */
    val organisations = OrganisationBytes(limitBytes, reserveBytes)

    private var pressure = MemoryPressure.NONE

    /** The streams in progress, which wait or go on as the pressure changes. */
    internal val streams = LinkedHashSet<StreamShare>()

    /** Streams whose callers have not read all: the next read of each comes on top of what they hold. */
    private var busyStreams = 0

    /** Bytes of unfinished events, which only come back when more of them arrives. */
    internal var partialBytes = 0L
    internal val maxPartialBytes get() = limitBytes / 4

    /**
     * Whether a stream of [organisation] may read more. While memory is short only one that [isIdle] may: its caller
     * has read all, so its bytes come back at once if the caller keeps reading. An organisation that holds more than an
     * equal part of the memory waits with all its streams.
     */
    internal fun mayRead(
        organisation: OrganisationId?,
        isIdle: Boolean,
    ) = when (pressure) {
        MemoryPressure.NONE -> true
        MemoryPressure.SHORT -> isIdle && !organisations.isOverPart(organisation)
        MemoryPressure.FULL -> false
    }

    internal fun countBusyStream(change: Int) {
        busyStreams += change
        updatePressure()
    }

    /** Lets streams go on whose organisation holds less by now. */
    internal fun updateStreams() = streams.forEach { it.update() }

    /** The bytes of one request, response or stream of [organisation]. */
    inner class Share(
        val organisation: OrganisationId? = null,
    ) {
        private var bytes = 0L

        /** Adds [count] bytes; returns false and adds nothing if they do not fit. */
        fun grow(count: Long): Boolean {
            val isSmall = bytes + count <= SMALL_SHARE_BYTES
            if (usedBytes + count > organisations.ceilingBytes(organisation, count, isSmall)) return false
            add(count)
            return true
        }

        /** Adds [count] bytes that are kept already, or gives some back. */
        internal fun add(count: Long) {
            bytes += count
            usedBytes += count
            organisations.add(organisation, count)
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
        updateStreams()
    }

    private fun pressureOf(bytes: Long) =
        when {
            bytes > limitBytes + reserveBytes / 2 -> MemoryPressure.FULL
            bytes + busyStreams * READ_BYTES > limitBytes -> MemoryPressure.SHORT
            else -> MemoryPressure.NONE
        }

    private enum class MemoryPressure { NONE, SHORT, FULL }

    companion object {
        const val SMALL_SHARE_BYTES = 64L * 1024

        /** A socket that is ready is read once more after it has been told to wait, at most this much. */
        private const val READ_BYTES = 64L * 1024

        /**
         * The budget of this process: half of its direct memory, which sockets read into, and less than a third of its
         * heap, in which a response takes up to twice its size while it grows. Half of the reserve has room for a body
         * of 4 MiB on the users' platform.
         */
        fun ofProcess(): ByteBudget {
            val allBytes =
                minOf(PlatformDependent.maxDirectMemory() / 2, Runtime.getRuntime().maxMemory() * 3 / 10) * 9 / 8
            val reserveBytes = allBytes * 3 / 10
            return ByteBudget(allBytes - reserveBytes, reserveBytes)
        }
    }
}
