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

private class Lines : AppenderBase<ILoggingEvent>() {
    val all = CopyOnWriteArrayList<String>()

    override fun append(event: ILoggingEvent) {
        all += event.formattedMessage
    }
}

// Guards against a log that explains a request by what was known at its end and not when it was decided.
class RequestLogTest :
    FunSpec({
        test("a call's line names the configuration that decided it, though a newer one came meanwhile") {
            val goOn = CountDownLatch(1)
            val began = CountDownLatch(1)
            val engine =
                ScriptedUpstream { request, output ->
                    began.countDown()
                    goOn.await()
                    output.answer(request, "whole")
                    After.KEEP
                }
            val lines = Lines().apply { start() }
            val logger = LoggerFactory.getLogger("io.teaselspring.daemon.calls") as Logger
            val levelBefore = logger.level
            logger.level = Level.INFO
            logger.addAppender(lines)
            try {
                withGateway(engine) {
                    coroutineScope {
                        val first = async { call(PLAIN) }
                        began.await()
                        config.set("config", configOf(version = 2))
                        // A route that does not exist is decided by the newest configuration.
                        eventually {
                            call("/none/")
                            lines.all.last() shouldContain "config=2"
                        }
                        goOn.countDown()
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
