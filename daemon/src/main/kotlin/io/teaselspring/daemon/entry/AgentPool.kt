/*
 * Connection pool of an entry to agents. It keeps one link and the last reported load per agent, routes messages of
 * attempts to their requests, and reports open attempts as lost when a link closes.
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

/** Service discovery: returns the current internal addresses ("IP:port") of the agents to connect to. */
typealias AgentDirectory = () -> List<String>

/** Handles messages outside the request path, such as configuration, and links to other entries. */
interface PeerHandler {
    /** Called for each [message] on [link] that the request path does not handle. */
    suspend fun onMessage(
        link: Link,
        message: Message,
    ) = Unit

    /** Serves an open [link] to another entry; the link closes when this returns. */
    suspend fun serveEntryLink(link: Link) = link.incoming.collect { onMessage(link, it) }
}

private class AgentLink(
    val link: Link,
    @Volatile var view: AgentView,
) {
    /** Attempts in flight on this agent. */
    val openAttempts: MutableMap<RequestId, Int> = ConcurrentHashMap()
}

/** The agents that an entry has open links to. */
internal class AgentPool(
    private val context: LinkContext,
    private val inboxes: Inboxes,
    private val withdrawnKeys: () -> Set<KeyId>,
    private val usage: ReceivedUsage,
    private val peers: PeerHandler,
    private val nowMs: MonotonicMs,
) {
    /** Latencies of the agents, for straggler detection. */
    val latencies = AgentLatencies(nowMs)

    private val agents = ConcurrentHashMap<InstanceId, AgentLink>()

    /** Load and health of each linked agent. */
    fun views(): List<AgentView> = agents.values.map { it.view }

    /** True if a request sent to [agent] now is likely to wait in its queue. */
    fun isBusy(agent: InstanceId): Boolean =
        agents[agent]?.view?.run { running + queued + sentSinceReport >= limit } ?: true

    /** Maintains links to the agents in [directory], polled every [interval], until the returned job is cancelled. */
    fun start(
        scope: CoroutineScope,
        directory: AgentDirectory,
        interval: Duration = 1.seconds,
    ): Job =
        scope.launch {
            val connecting = HashMap<String, Job>()
            while (true) {
                val addresses = directory().toSet()
                (connecting.keys - addresses).forEach { connecting.remove(it)?.cancel() }
                (addresses - connecting.keys).forEach { connecting[it] = maintainLink(context, it, onLink = ::serve) }
                delay(interval)
            }
        }

    /** Sends [submit] to [agent]; returns false if no byte of it was sent, so that it cannot have run. */
    suspend fun submit(
        agent: InstanceId,
        submit: Message.Submit,
    ): Boolean {
        val target = agents[agent] ?: return false
        target.openAttempts[submit.requestId] = submit.attempt
        target.updateView { copy(sentSinceReport = sentSinceReport + 1) }
        val isSent = target.link.send(submit)
        if (!isSent) target.openAttempts.remove(submit.requestId)
        // The link may have closed between the lookup and the registration, after its attempts were reported as lost.
        if (isSent && !target.link.isOpen) target.reportLost(submit.requestId)
        return isSent
    }

    /** Cancels [attempt] of request [id] on [agent]. */
    fun cancel(
        agent: InstanceId,
        id: RequestId,
        attempt: Int,
    ) {
        val target = agents[agent] ?: return
        target.openAttempts.remove(id)
        target.link.offer(Message.Cancel(id, attempt))
    }

    /** Acknowledges the chunks before [nextOffset], which moves the flow-control window of [agent]. */
    fun acknowledge(
        agent: InstanceId,
        id: RequestId,
        attempt: Int,
        nextOffset: Long,
    ) {
        agents[agent]?.link?.offer(Message.Received(id, attempt, nextOffset))
    }

    /** Ejects [agent] from load balancing for [forMs]. */
    fun eject(
        agent: InstanceId,
        forMs: Long,
    ) {
        agents[agent]?.updateView { copy(ejectedUntilMs = nowMs() + forMs) }
    }

    /** Notifies all agents that [keyIds] were withdrawn. */
    fun sendWithdrawal(keyIds: Set<KeyId>) {
        agents.values.forEach { it.link.offer(Message.KeysWithdrawn(keyIds.toList())) }
    }

    /** Notifies all agents that this entry stops sending requests. */
    fun sendGoodbye() = agents.values.forEach { it.link.offer(Message.Goodbye) }

    private suspend fun serve(link: Link) {
        if (link.peer.role != Role.AGENT) return peers.serveEntryLink(link)
        val instance = link.peer.instance
        val agent = AgentLink(link, initialView(link))
        agents[instance] = agent
        val withdrawn = withdrawnKeys()
        if (withdrawn.isNotEmpty()) link.offer(Message.KeysWithdrawn(withdrawn.toList()))
        try {
            link.incoming.collect { receive(agent, it) }
        } finally {
            link.close()
            agents.remove(instance, agent)
            agent.openAttempts.keys.forEach { agent.reportLost(it) }
            latencies.remove(instance)
            usage.agentLost(link.peer.incarnation)
        }
    }

    private fun initialView(link: Link) =
        AgentView(
            instance = link.peer.instance,
            dataCentre = link.peer.dataCentre,
            upstream =
                requireNotNull(link.peer.upstream) {
                    "link to agent ${link.peer.instance} rejected: its handshake has no upstream"
                },
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
                agent.updateView { copy(sentSinceReport = maxOf(0, sentSinceReport - 1)) }
                agent.finish(message.requestId, message.attempt, message, null)
            }
            is Message.Finished -> agent.finish(message.requestId, message.attempt, message, message.usage)
            is Message.Failed -> agent.finish(message.requestId, message.attempt, message, message.usage)
            is Message.Load -> agent.applyLoad(message)
            Message.Goodbye -> agent.updateView { copy(draining = true) }
            else -> peers.onMessage(agent.link, message)
        }
    }

    private fun AgentLink.applyLoad(load: Message.Load) {
        usage.flushed(link.peer.incarnation, load.flushedUsageSequence)
        updateView {
            copy(
                draining = load.draining,
                running = load.running,
                queued = load.queued,
                limit = load.limit,
                lowestTier = load.lowestTier,
                firstTokenEstimateMs = load.firstTokenEstimateMs,
                reportedAtMs = nowMs(),
                sentSinceReport = 0,
                pausedUntilMs = if (load.pausedForMs > 0) nowMs() + load.pausedForMs else 0,
            )
        }
    }

    private fun AgentLink.finish(
        id: RequestId,
        attempt: Int,
        message: Message,
        record: UsageRecord?,
    ) {
        openAttempts.remove(id, attempt)
        record?.let { usage.received(link.peer.incarnation, it) }
        deliver(id, attempt, message)
    }

    private fun AgentLink.deliver(
        id: RequestId,
        attempt: Int,
        message: Message,
    ) {
        val isDelivered = inboxes.deliver(id, InboxEvent.FromAgent(attempt, message))
        // The request has ended, or the agent exceeded the flow-control window; in both cases the attempt is cancelled.
        if (!isDelivered && openAttempts.remove(id, attempt)) link.offer(Message.Cancel(id, attempt))
    }

    private fun AgentLink.reportLost(id: RequestId) {
        openAttempts.remove(id)?.let { inboxes.deliver(id, InboxEvent.AgentLost(it)) }
    }

    @Synchronized
    private fun AgentLink.updateView(transform: AgentView.() -> AgentView) {
        view = view.transform()
    }
}
