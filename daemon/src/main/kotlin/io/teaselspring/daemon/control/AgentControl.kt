/*
 * The control side of one agent: its usage records and their storage.
 */
package io.teaselspring.daemon.control

import io.teaselspring.core.Incarnation
import io.teaselspring.daemon.launchRestarting
import io.teaselspring.daemon.usage.AgentUsage
import io.teaselspring.daemon.usage.UsageTable
import io.teaselspring.ports.Platform
import io.teaselspring.ports.describe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.usage")

/** The control side of the agent [own]. [usageWindow] must be the same in all processes. */
class AgentControl(
    own: Incarnation,
    platform: Platform,
    clock: Clock = Clock.System,
    private val random: Random = Random.Default,
    usageWindow: Duration = 1.hours,
) {
    /** Takes the records of the request path. */
    val usage = AgentUsage(own, UsageTable(platform.table), clock, usageWindow.inWholeMilliseconds)

    /** Starts the loops in [scope]; they end with the returned job. */
    fun start(scope: CoroutineScope): Job = scope.launchRestarting("usage") { usage.run(random) }

    /** Stores what is left, once all work has ended; gives up after [limit], and entries store what they know of. */
    suspend fun stop(limit: Duration = 5.seconds) {
        val result = withTimeoutOrNull(limit) { usage.flush() }
        val error = result?.leftOrNull()?.describe()
        if (usage.openCount() > 0) log.warn("event=usage_not_flushed records={} {}", usage.openCount(), error.orEmpty())
    }
}
