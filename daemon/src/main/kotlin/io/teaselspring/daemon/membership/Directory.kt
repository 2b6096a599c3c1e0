/*
 * The instances of the system as this process knows them: the platform's list, which lags, corrected by what peers
 * say themselves. A Goodbye wins over the list; without the list, the last one known stays in use.
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

/** Role names in the platform's list. */
const val ENTRY_ROLE = "entry"

/** See [ENTRY_ROLE]. */
const val AGENT_ROLE = "agent"

/** The instances known. [seeds] are internal addresses to use as long as no list was ever read. */
class Directory(
    private val own: InstanceId,
    private val seeds: List<String>,
) {
    private var listed: List<ListedInstance>? = null
    private val departed = HashSet<InstanceId>()

    /** Takes a list that the platform gave. */
    @Synchronized
    fun update(list: List<ListedInstance>) {
        listed = list.filter { it.hasAddress() }
        // Once the list shows a departed instance as gone, a later entry of that name is a new one.
        val stillLive = list.filter { it.state == InstanceState.LIVE }.map { InstanceId(it.instance) }.toSet()
        departed.retainAll(stillLive)
    }

    /** The instance said that it leaves. */
    @Synchronized
    fun left(instance: InstanceId) {
        departed += instance
    }

    /** The instance opened a link, so it is there, whatever was known of an earlier one. */
    @Synchronized
    fun arrived(instance: InstanceId) {
        departed -= instance
    }

    /** The live instances, this one excepted. */
    @Synchronized
    fun live(): List<ListedInstance> =
        listed.orEmpty().filter {
            val id = InstanceId(it.instance)
            it.state == InstanceState.LIVE && id != own && id !in departed
        }

    /** The live agents, or null if no list was ever read. */
    @Synchronized
    fun agents(): List<ListedInstance>? = listed?.let { live().filter { it.role == AGENT_ROLE } }

    /** Internal addresses of agents. Without a list these are the seeds; a seed that is an entry is linked as such. */
    @Synchronized
    fun agentAddresses(): List<String> = agents()?.map { it.internalAddress }?.distinct() ?: seeds

    /** Other live entries. */
    fun entries(): List<ListedInstance> = live().filter { it.role == ENTRY_ROLE }
}

/** An instance without a usable address would end the loop that connects to it. */
private fun ListedInstance.hasAddress(): Boolean {
    val port = internalAddress.substringAfterLast(':', "").toIntOrNull()
    val isUsable = port != null && port in 1..65_535 && internalAddress.substringBeforeLast(':').isNotBlank()
    if (!isUsable) log.warn("event=instance_without_address instance={} address=\"{}\"", instance, internalAddress)
    return isUsable
}

/** Reads the list every [interval] with a jitter, until cancelled. */
suspend fun Directory.poll(
    list: InstanceList,
    random: Random,
    interval: Duration = 2.seconds,
): Nothing {
    var failing = false
    while (true) {
        list.instances().fold(
            {
                if (!failing) log.warn("event=instance_list_failed {}", it.describe())
                failing = true
            },
            {
                update(it)
                failing = false
            },
        )
        delay(interval * random.nextDouble(0.8, 1.2))
    }
}
