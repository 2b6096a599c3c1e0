/*
 * Tells whether the host of a server can be reached, without sending it anything.
 */
package io.teaselspring.daemon.http

/** Opens and closes a connection to [address], "IP:port"; one that is refused shows that the host is there as well. */
internal fun HttpConnections.checkReachable(
    address: String,
    onResult: (isReachable: Boolean) -> Unit,
) = open(
    server(address),
    onConnected = {
        it.close()
        onResult(true)
    },
    onFailed = { onResult(it.isRefusal()) },
)
