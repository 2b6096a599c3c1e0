/*
 * The configuration in force on this entry and how old that knowledge can be. Versions never go back. A decision that
 * needs younger knowledge than there is waits for the next confirmed read, for a short time.
 */
package io.teaselspring.daemon.gateway

import io.netty.channel.EventLoop
import io.teaselspring.core.freshness.Freshness
import io.teaselspring.core.lease.ClockReading
import io.teaselspring.core.routing.RoutingConfig
import org.slf4j.LoggerFactory
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.gateway")

/** The configuration; all calls are made on [loop]. */
internal class ConfigState(
    private val loop: EventLoop,
    private val clock: () -> ClockReading,
) {
    private val freshness = Freshness()
    private val waiting = ArrayList<Waiter>()

    /** The newest configuration known, null before the first read. */
    var current: RoutingConfig? = null
        private set

    /** Called when a decision waits for younger knowledge. */
    var onStale: () -> Unit = {}

    /** The greatest age that the knowledge can have, in milliseconds; null if nothing is shown. */
    fun ageMs(): Long? = freshness.ageMs(clock())

    /** A read sent at [askedAt] showed that [config] is the newest, or that nothing newer than [current] exists. */
    fun confirmed(
        askedAt: ClockReading,
        config: RoutingConfig?,
    ) {
        if (config != null) apply(config)
        freshness.recordRead(askedAt, clock())
        val woken = waiting.filter { waiter -> ageMs().isWithin(waiter.limitMs) }
        waiting -= woken.toSet()
        woken.forEach { it.finish(true) }
    }

    private fun apply(config: RoutingConfig) {
        val old = current
        if (old != null && config.version <= old.version) return
        current = config
        log.info(
            "event=config_applied version={} before={} routes={} organisations={}",
            config.version,
            old?.version,
            config.routes.size,
            config.organisations.size,
        )
    }

    /** Calls [then] as soon as the knowledge is younger than [limitMs], or with false after [patience]. */
    fun awaitYounger(
        limitMs: Long,
        patience: Duration = PATIENCE,
        then: (Boolean) -> Unit,
    ) {
        if (ageMs().isWithin(limitMs)) {
            then(true)
            return
        }
        val waiter = Waiter(limitMs, then)
        waiting += waiter
        loop.schedule(
            { if (waiting.remove(waiter)) waiter.finish(false) },
            patience.inWholeMilliseconds,
            TimeUnit.MILLISECONDS,
        )
        onStale()
    }

    private fun Long?.isWithin(limitMs: Long) = this != null && this < limitMs

    private class Waiter(
        val limitMs: Long,
        val finish: (Boolean) -> Unit,
    )

    private companion object {
        /** A confirmed read takes a few milliseconds; a store that takes this long is away. */
        val PATIENCE = 150.milliseconds
    }
}
