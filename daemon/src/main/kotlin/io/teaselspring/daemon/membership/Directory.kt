/*
 * Service discovery: the live instances of the system. The platform's instance list lags, so messages from peers
 * correct it: a Goodbye takes precedence over the list. While the list cannot be read, the last one read stays in use.
 */
package io.teaselspring.daemon.membership

import io.teaselspring.core.InstanceId
import io.teaselspring.ports.InstanceList
import io.teaselspring.ports.InstanceState
import io.teaselspring.ports.ListedInstance
import io.teaselspring.ports.describe
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.membership")

/** Role of entries in the platform's instance list. */
const val ENTRY_ROLE = "entry"

/** Role of agents in the platform's instance list. */
const val AGENT_ROLE = "agent"

/** The known instances. [seeds] are the internal addresses to use until a list has been read. */
class Directory(
    private val own: InstanceId,
    private val seeds: List<String>,
) {
    private var listed: List<ListedInstance>? = null
    private val departed = HashSet<InstanceId>()

    /** Replaces the instance list by one read from the platform. */
    @Synchronized
    fun update(list: List<ListedInstance>) {
        listed = list.filter { it.hasUsableAddress() }
        // Once the list no longer has a departed instance as live, a later listing of that name is a new instance.
        val stillLive = list.filter { it.state == InstanceState.LIVE }.map { InstanceId(it.instance) }.toSet()
        departed.retainAll(stillLive)
    }

    /** Excludes an instance that sent a Goodbye. */
    @Synchronized
    fun markDeparted(instance: InstanceId) {
        departed += instance
    }

    /** Includes an instance again after a link to it opened, even if an earlier one of that name sent a Goodbye. */
    @Synchronized
    fun markPresent(instance: InstanceId) {
        departed -= instance
    }

    /** Returns the live instances except this one. */
    @Synchronized
    fun live(): List<ListedInstance> =
        listed.orEmpty().filter {
            val id = InstanceId(it.instance)
            it.state == InstanceState.LIVE && id != own && id !in departed
        }

    /** Returns the live agents, or null until a list has been read. */
    @Synchronized
    fun agents(): List<ListedInstance>? = listed?.let { live().filter { it.role == AGENT_ROLE } }

    /** Returns the internal addresses of agents: the seeds, which may include entries, until a list has been read. */
    @Synchronized
    fun agentAddresses(): List<String> = agents()?.map { it.internalAddress }?.distinct() ?: seeds

    /** Returns the live entries except this one. */
    fun entries(): List<ListedInstance> = live().filter { it.role == ENTRY_ROLE }
}

/** Logs and rejects an instance with an invalid address, which would terminate the loop that connects to it. */
private fun ListedInstance.hasUsableAddress(): Boolean {
    val port = internalAddress.substringAfterLast(':', "").toIntOrNull()
    val isUsable = port != null && port in 1..65_535 && internalAddress.substringBeforeLast(':').isNotBlank()
    if (!isUsable) log.warn("event=instance_without_address instance={} address=\"{}\"", instance, internalAddress)
    return isUsable
}

/** Reads the instance list every [interval] with jitter, until cancelled. Logs the first failure of a series. */
suspend fun Directory.poll(
    list: InstanceList,
    random: Random,
    interval: Duration = 2.seconds,
): Nothing {
    var isFailing = false
    while (true) {
        list.instances().fold(
            {
                if (!isFailing) log.warn("event=instance_list_failed {}", it.describe())
                isFailing = true
            },
            {
                update(it)
                isFailing = false
            },
        )
        delay(interval * random.nextDouble(0.8, 1.2))
    }
}
