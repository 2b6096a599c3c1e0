/*
 * What an entry keeps of one stream: the bytes that its caller has not read yet, and the unfinished event that is held
 * back. These bytes have arrived before they can be counted, so a stream without memory is not refused: its instance is
 * made to wait.
 */
package io.teaselspring.daemon.gateway

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultHttpContent
import io.teaselspring.core.OrganisationId

/**
 * The bytes of one stream of [organisation] in [budget]. [setReading] says whether the stream's instance may send
 * more.
 */
internal class StreamShare(
    private val budget: ByteBudget,
    private val organisation: OrganisationId?,
    private val setReading: (Boolean) -> Unit,
) {
    private val share = budget.Share(organisation)
    private var isWritable = true
    private var unsentBytes = 0L
    private var partialBytes = 0L
    private var wasIdle = true

    /** Whether the instance may send more. */
    var isReading = true
        private set

    /** The stream begins. */
    fun open() {
        budget.streams += this
        update()
    }

    /** The stream has ended. What has not been sent yet still counts. */
    fun close() {
        budget.streams -= this
    }

    /** The caller's connection accepts more data again, or its write buffer is full. */
    fun writabilityChanged(isWritable: Boolean) {
        this.isWritable = isWritable
        update()
    }

    /** Writes [chunk] to [channel], the caller's, and counts it unless it is sent at once. */
    fun write(
        channel: Channel,
        chunk: ByteBuf,
    ) {
        val bytes = chunk.readableBytes().toLong() + CHUNK_OVERHEAD_BYTES
        val written = channel.writeAndFlush(DefaultHttpContent(chunk))
        // The buffer may have been full before this stream, which then hears of no change.
        isWritable = channel.isWritable
        if (!written.isDone) {
            keepUnsent(bytes)
            written.addListener { keepUnsent(-bytes) }
        }
        update()
    }

    private fun keepUnsent(bytes: Long) {
        unsentBytes += bytes
        share.add(bytes)
        update()
    }

    /**
     * Counts the unfinished event, of which [bytes] are held back. Returns false if it does not fit and waiting cannot
     * help, because unfinished events have most of the memory and none of them ends while all wait.
     */
    fun keepPartial(bytes: Int): Boolean {
        val added = bytes - partialBytes
        partialBytes = bytes.toLong()
        budget.partialBytes += added
        share.add(added)
        update()
        val isSmall = bytes <= ByteBudget.SMALL_SHARE_BYTES
        return isSmall || added <= 0 || budget.partialBytes <= budget.maxPartialBytes
    }

    /** Makes the instance wait or go on, as the caller and the memory allow. */
    fun update() {
        val isIdle = unsentBytes == 0L && partialBytes <= ByteBudget.SMALL_SHARE_BYTES
        if (isIdle != wasIdle) {
            wasIdle = isIdle
            budget.countBusyStream(if (isIdle) -1 else 1)
        }
        val mayRead = isWritable && budget.mayRead(organisation, isIdle)
        if (mayRead == isReading) return
        isReading = mayRead
        setReading(mayRead)
    }

    private companion object {
        /** What the objects of a chunk take beside its bytes, estimated. */
        const val CHUNK_OVERHEAD_BYTES = 512L
    }
}
