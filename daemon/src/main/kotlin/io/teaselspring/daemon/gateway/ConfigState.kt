/*
 * The configuration in force on this entry and an upper bound of its age. Versions never decrease. A decision that
 * requires a fresher configuration waits briefly for the next confirmed read.
 */
package io.teaselspring.daemon.gateway

import io.netty.channel.EventLoop
import io.teaselspring.core.freshness.Freshness
import io.teaselspring.core.lease.ClockReading
import io.teaselspring.core.routing.RoutingConfig
import org.slf4j.LoggerFactory
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.gateway")

/** Holds the configuration; all calls must be made on [loop]. */
internal class ConfigState(
    private val loop: EventLoop,
    private val clock: () -> ClockReading,
) {
    private val freshness = Freshness()
    private val waiters = ArrayList<Waiter>()

    /** Whether the store is known to hold no newer configuration than [current], or one that cannot be read. */
    private var isNewest = false

    /** The newest configuration known, null before the first read. */
    var current: RoutingConfig? = null
        private set

    /** Called when a decision needs a fresher configuration; it should start a read. */
    var onStale: () -> Unit = {}

    /** Upper bound of the age of [current] in milliseconds; null if it is unknown. */
    fun ageMs(): Long? = freshness.ageMs(clock())

    /**
     * Records that a read sent at [askedAt] returned [config] as the newest, or nothing newer than what was read
     * before; [isComplete] if it read the whole table. A store that was restored may know only an older configuration
     * than [current]; it confirms nothing until a newer one is written or this one is written again.
     */
    fun recordConfirmation(
        askedAt: ClockReading,
        config: RoutingConfig?,
        isComplete: Boolean,
    ) {
        if (config != null) apply(config)
        if (config != null || isComplete) {
            recordNewest(config != null && config.version >= checkNotNull(current).version)
        }
        if (!isNewest) return
        freshness.recordRead(askedAt, clock())
        val satisfied = waiters.filter { waiter -> ageMs().isBelow(waiter.maxAgeMs) }
        waiters -= satisfied.toSet()
        satisfied.forEach { it.finish(true) }
    }

    /**
     * Records that the newest configuration cannot be read or was deleted. Nothing confirms [current] until one is read
     * again that is not older.
     */
    fun recordUnreadable() = recordNewest(false)

    private fun recordNewest(isNewest: Boolean) {
        if (isNewest == this.isNewest) return
        this.isNewest = isNewest
        val event = if (isNewest) "config_confirmed" else "config_unconfirmed"
        log.info("event={} version={} config_age_ms={}", event, current?.version, ageMs())
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
            config.organisations?.size,
        )
    }

    /** Calls [onResult] with true once the age is below [maxAgeMs], or with false after [timeout]. */
    fun awaitFreshness(
        maxAgeMs: Long,
        timeout: Duration,
        onResult: (Boolean) -> Unit,
    ) {
        if (ageMs().isBelow(maxAgeMs)) {
            onResult(true)
            return
        }
        val waiter = Waiter(maxAgeMs, onResult)
        waiters += waiter
        loop.schedule(
            { if (waiters.remove(waiter)) waiter.finish(false) },
            timeout.inWholeMilliseconds,
            TimeUnit.MILLISECONDS,
        )
        // The watch of the table shows the next configuration; until then a read finds the same one as before.
        if (isNewest || current == null) onStale()
    }

    private fun Long?.isBelow(maxAgeMs: Long) = this != null && this < maxAgeMs

    private class Waiter(
        val maxAgeMs: Long,
        val finish: (Boolean) -> Unit,
    )
}
