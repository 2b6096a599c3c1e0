package io.teaselspring.daemon.gateway

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.AppenderBase
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.teaselspring.daemon.eventually
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import org.slf4j.LoggerFactory
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch

private class LineAppender : AppenderBase<ILoggingEvent>() {
    val all = CopyOnWriteArrayList<String>()

    override fun append(event: ILoggingEvent) {
        all += event.formattedMessage
    }
}

// Guards against a log line that names the configuration at the end of a request and not that of the decision.
class RequestLogTest :
    FunSpec({
        test("the log line names the configuration of the decision even if a newer one was applied meanwhile") {
            val release = CountDownLatch(1)
            val started = CountDownLatch(1)
            val engine =
                ScriptedUpstream { request, output ->
                    started.countDown()
                    release.await()
                    output.respond(request, "whole")
                    ConnectionAction.KEEP
                }
            val lines = LineAppender().apply { start() }
            val logger = LoggerFactory.getLogger("io.teaselspring.daemon.calls") as Logger
            val levelBefore = logger.level
            logger.level = Level.INFO
            logger.addAppender(lines)
            try {
                withGateway(engine) {
                    coroutineScope {
                        val first = async { call(PLAIN) }
                        started.await()
                        config.set("config", configOf(version = 2))
                        // The refusal of a request without a route logs the newest configuration.
                        eventually {
                            call("/none/")
                            lines.all.last() shouldContain "config=2"
                        }
                        release.countDown()
                        first.await()
                        val line = lines.all.single { "outcome=answered" in it }
                        Regex("config=(\\d+)").find(line)?.groupValues?.get(1) shouldBe "1"
                    }
                }
            } finally {
                logger.detachAppender(lines)
                logger.level = levelBefore
            }
        }
    })
