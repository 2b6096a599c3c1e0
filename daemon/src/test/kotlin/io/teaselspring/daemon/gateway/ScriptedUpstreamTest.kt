/*
 * Guards against a stand-in that still accepts connections after it was closed: the entry then takes a crashed instance
 * for one that listens, and does not count the crash.
 */
package io.teaselspring.daemon.gateway

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import java.net.ConnectException
import java.net.InetAddress
import java.net.Socket

class ScriptedUpstreamTest :
    FunSpec({
        test("a closed upstream refuses connections") {
            repeat(CLOSES) {
                val upstream = ScriptedUpstream { _, _ -> ConnectionAction.CLOSE }
                upstream.close()
                shouldThrow<ConnectException> {
                    Socket(InetAddress.getLoopbackAddress(), upstream.address.substringAfter(':').toInt()).close()
                }
            }
        }
    })

private const val CLOSES = 200
