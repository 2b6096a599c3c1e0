/*
 * The links of an entry to agents, and what the entry knows about each agent.
 */
package io.teaselspring.daemon.entry

import io.teaselspring.core.InstanceId
import io.teaselspring.core.KeyId
import io.teaselspring.core.RequestId
import io.teaselspring.core.choice.AgentView
import io.teaselspring.daemon.MonotonicMs
import io.teaselspring.daemon.link.Link
import io.teaselspring.daemon.link.LinkContext
import io.teaselspring.daemon.link.maintainLink
import io.teaselspring.daemon.usage.ReceivedUsage
import io.teaselspring.protocol.Message
import io.teaselspring.protocol.Role
import io.teaselspring.protocol.UsageRecord
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The internal addresses ("IP:port") of the agents that this entry should be linked to, as known now. */
typealias AgentDirectory = () -> List<String>

/** Handles what is not part of the request path: configuration messages on any link, and links to other entries. */
interface PeerHandler {
    /** A message that the request path does not use arrived on [link]. */
    suspend fun received(
        link: Link,
        message: Message,
    ) = Unit

    /** A link to another entry is open; it closes when this returns. */
    suspend fun entryLink(link: Link) = link.incoming.collect { received(link, it) }
}

private class AgentLink(
    val link: Link,
    @Volatile var view: AgentView,
) {
    /** Attempts that were sent and have not ended. */
    val open: MutableMap<RequestId, Int> = ConcurrentHashMap()
}

/** The agents that an entry is linked to. */
internal class AgentPool(
    private val context: LinkContext,
    private val inboxes: Inboxes,
    private val withdrawnKeys: () -> Set<KeyId>,
    private val usage: ReceivedUsage,
    private val peers: PeerHandler,
    private val nowMs: MonotonicMs,
) {
    /** How fast the agents answer. */
    val speeds = AgentSpeeds(nowMs)

    private val agents = ConcurrentHashMap<InstanceId, AgentLink>()

    /** What is known about each linked agent. */
    fun views(): List<AgentView> = agents.values.map { it.view }

    /** True if a request sent to [agent] now is likely to wait in its queue. */
    fun isBusy(agent: InstanceId): Boolean =
        agents[agent]?.view?.run { running + queued + sentSinceReport >= limit } ?: true

    /** Keeps links to the agents in [directory] until the job is cancelled. */
    fun start(
        scope: CoroutineScope,
        directory: AgentDirectory,
        interval: Duration = 1.seconds,
    ): Job =
        scope.launch {
            val connecting = HashMap<String, Job>()
            while (true) {
                val wanted = directory().toSet()
                (connecting.keys - wanted).forEach { connecting.remove(it)?.cancel() }
                (wanted - connecting.keys).forEach { connecting[it] = maintainLink(context, it, onLink = ::serve) }
                delay(interval)
            }
        }

    /** Sends [submit] to [agent]; false if not a byte of it was sent. */
    suspend fun submit(
        agent: InstanceId,
        submit: Message.Submit,
    ): Boolean {
        val target = agents[agent] ?: return false
        target.open[submit.requestId] = submit.attempt
        target.change { copy(sentSinceReport = sentSinceReport + 1) }
        val isSent = target.link.send(submit)
        if (!isSent) target.open.remove(submit.requestId)
        // The link may have closed between the lookup and the registration, after its attempts were reported as lost.
        if (isSent && !target.link.isOpen) target.lose(submit.requestId)
        return isSent
    }

    /** Gives up [attempt] on [agent]. */
    fun cancel(
        agent: InstanceId,
        id: RequestId,
        attempt: Int,
    ) {
        val target = agents[agent] ?: return
        target.open.remove(id)
        target.link.offer(Message.Cancel(id, attempt))
    }

    /** Tells [agent] that the chunks before [nextOffset] were passed to the caller. */
    fun received(
        agent: InstanceId,
        id: RequestId,
        attempt: Int,
        nextOffset: Long,
    ) {
        agents[agent]?.link?.offer(Message.Received(id, attempt, nextOffset))
    }

    /** Ejects [agent] from the choices for [forMs]. */
    fun eject(
        agent: InstanceId,
        forMs: Long,
    ) {
        agents[agent]?.change { copy(ejectedUntilMs = nowMs() + forMs) }
    }

    /** Passes the withdrawal of [keyIds] to all agents. */
    fun withdraw(keyIds: Set<KeyId>) {
        agents.values.forEach { it.link.offer(Message.KeysWithdrawn(keyIds.toList())) }
    }

    /** Says goodbye to all agents. */
    fun sendGoodbye() = agents.values.forEach { it.link.offer(Message.Goodbye) }

    private suspend fun serve(link: Link) {
        if (link.peer.role != Role.AGENT) return peers.entryLink(link)
        val instance = link.peer.instance
        val agent = AgentLink(link, viewOf(link))
        agents[instance] = agent
        val withdrawn = withdrawnKeys()
        if (withdrawn.isNotEmpty()) link.offer(Message.KeysWithdrawn(withdrawn.toList()))
        try {
            link.incoming.collect { receive(agent, it) }
        } finally {
            link.close()
            agents.remove(instance, agent)
            agent.open.keys.forEach { agent.lose(it) }
            speeds.forget(instance)
            usage.agentLost(link.peer.incarnation)
        }
    }

    private fun viewOf(link: Link) =
        AgentView(
            instance = link.peer.instance,
            dataCentre = link.peer.dataCentre,
            upstream = requireNotNull(link.peer.upstream) { "an agent names its upstream" },
            models = link.peer.models.toSet(),
            connected = true,
            reportedAtMs = nowMs(),
        )

    private suspend fun receive(
        agent: AgentLink,
        message: Message,
    ) {
        when (message) {
            is Message.Accepted -> agent.deliver(message.requestId, message.attempt, message)
            is Message.Started -> agent.deliver(message.requestId, message.attempt, message)
            is Message.Chunk -> agent.deliver(message.requestId, message.attempt, message)
            is Message.NotRun -> {
                agent.change { copy(sentSinceReport = maxOf(0, sentSinceReport - 1)) }
                agent.finish(message.requestId, message.attempt, message, null)
            }
            is Message.Finished -> agent.finish(message.requestId, message.attempt, message, message.usage)
            is Message.Failed -> agent.finish(message.requestId, message.attempt, message, message.usage)
            is Message.Load -> agent.report(message)
            Message.Goodbye -> agent.change { copy(draining = true) }
            else -> peers.received(agent.link, message)
        }
    }

    private fun AgentLink.report(load: Message.Load) {
        usage.flushed(link.peer.incarnation, load.flushedUsageSequence)
        change {
            copy(
                draining = load.draining,
                running = load.running,
                queued = load.queued,
                limit = load.limit,
                lowestTier = load.lowestTier,
                firstTokenEstimateMs = load.firstTokenEstimateMs,
                reportedAtMs = nowMs(),
                sentSinceReport = 0,
            )
        }
    }

    private fun AgentLink.finish(
        id: RequestId,
        attempt: Int,
        message: Message,
        record: UsageRecord?,
    ) {
        open.remove(id, attempt)
        record?.let { usage.received(link.peer.incarnation, it) }
        deliver(id, attempt, message)
    }

    private fun AgentLink.deliver(
        id: RequestId,
        attempt: Int,
        message: Message,
    ) {
        val isDelivered = inboxes.deliver(id, InboxEvent.FromAgent(attempt, message))
        // The request is over, or its agent ignores the window; either way the agent need not go on.
        if (!isDelivered && open.remove(id, attempt)) link.offer(Message.Cancel(id, attempt))
    }

    private fun AgentLink.lose(id: RequestId) {
        open.remove(id)?.let { inboxes.deliver(id, InboxEvent.AgentLost(it)) }
    }

    @Synchronized
    private fun AgentLink.change(to: AgentView.() -> AgentView) {
        view = view.to()
    }
}
