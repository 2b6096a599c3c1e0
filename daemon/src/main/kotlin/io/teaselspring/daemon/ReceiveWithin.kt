/*
 * Receiving from a channel with a time limit. `withTimeoutOrNull { receive() }` loses an element if the time runs out
 * between its removal from the channel and the resumption of the receiver; `select` decides for one of both.
 */
package io.teaselspring.daemon

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import kotlin.time.Duration

/**
 * Waits for the next element, at most for [timeout]. Returns null if none has arrived by then; a later element stays in
 * the channel.
 *
 * @throws kotlinx.coroutines.channels.ClosedReceiveChannelException if the channel is closed and empty.
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal suspend fun <T : Any> ReceiveChannel<T>.receiveWithin(timeout: Duration): T? =
    select {
        onReceive { it }
        onTimeout(timeout) { null }
    }
