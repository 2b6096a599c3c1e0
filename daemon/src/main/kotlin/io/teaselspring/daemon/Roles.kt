/*
 * The two roles of the daemon, put together from their parts.
 */
package io.teaselspring.daemon

import io.ktor.network.selector.SelectorManager
import io.ktor.server.routing.Route
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.teaselspring.core.Incarnation
import io.teaselspring.daemon.agent.Agent
import io.teaselspring.daemon.agent.AgentDependencies
import io.teaselspring.daemon.control.AgentControl
import io.teaselspring.daemon.control.ControlIdentity
import io.teaselspring.daemon.control.EntryControl
import io.teaselspring.daemon.entry.Entry
import io.teaselspring.daemon.entry.EntryDependencies
import io.teaselspring.daemon.entry.PeerHandler
import io.teaselspring.daemon.link.Link
import io.teaselspring.daemon.link.LinkContext
import io.teaselspring.daemon.link.LinkIdentity
import io.teaselspring.daemon.operations.OperatorParts
import io.teaselspring.daemon.operations.OperatorServer
import io.teaselspring.daemon.operations.putAgent
import io.teaselspring.daemon.operations.putEntry
import io.teaselspring.daemon.operations.stateDump
import io.teaselspring.daemon.settings.AgentSettings
import io.teaselspring.daemon.settings.Settings
import io.teaselspring.daemon.usage.NoUsage
import io.teaselspring.ports.HttpPlatformSettings
import io.teaselspring.ports.httpPlatform
import io.teaselspring.protocol.Message
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.serialization.json.JsonObjectBuilder
import org.slf4j.LoggerFactory
import java.util.UUID
import kotlin.io.path.readText
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

private val log = LoggerFactory.getLogger("io.teaselspring.daemon")

private class Operations(
    val registry: PrometheusRegistry,
    val isReady: () -> Boolean,
    val routes: Route.() -> Unit,
    val state: JsonObjectBuilder.() -> Unit,
)

/** Starts the role of [settings] in [scope]. [requestDrain] is called when an operator asks for a drain. */
internal suspend fun startRole(
    settings: Settings,
    scope: CoroutineScope,
    requestDrain: () -> Unit,
): Running {
    val identity =
        LinkIdentity(
            settings.instance,
            Incarnation(UUID.randomUUID().toString()),
            settings.role,
            settings.dataCentre,
            settings.agent?.upstream,
            settings.agent?.models.orEmpty(),
        )
    val agent = settings.agent
    return if (agent == null) {
        startEntry(settings, identity, scope, requestDrain)
    } else {
        startAgent(settings, agent, identity, scope, requestDrain)
    }
}

private suspend fun startAgent(
    settings: Settings,
    agentSettings: AgentSettings,
    identity: LinkIdentity,
    scope: CoroutineScope,
    requestDrain: () -> Unit,
): Running {
    val registry = PrometheusRegistry()
    val links = settings.linkContext(identity) { Message.Versions(0, 0, 0) }
    val control = settings.platformUrl?.let { settings.agentControl(it, identity) }
    if (control == null) log.warn("event=usage_not_stored detail=\"no platform_url is set\"")
    val parts = AgentDependencies(usage = control?.usage ?: NoUsage, registry = registry)
    val agent = Agent(scope, agentSettings, links, settings.limits.streamIdleMs, parts)
    control?.start(scope)
    val internal = agent.start(settings.addresses.internal)
    val operations =
        Operations(registry, { agent.isReady }, {}) { putAgent(agent.summary(), agent.isReachable, agent.availability) }
    val operators = startOperators(settings, identity, operations, requestDrain)
    return Running(linkedMapOf("operators" to operators.first, "internal" to internal)) {
        agent.drain()
        control?.stop()
        operators.second.stop()
    }
}

private suspend fun startEntry(
    settings: Settings,
    identity: LinkIdentity,
    scope: CoroutineScope,
    requestDrain: () -> Unit,
): Running {
    val registry = PrometheusRegistry()
    val nowMs = TimeSource.Monotonic.milliseconds()
    val control = settings.entryControl(identity)
    val links = settings.linkContext(identity, control::versions)
    val parts =
        EntryDependencies(
            config = control.config,
            directory = control::agentAddresses,
            outcomes = control.outcomes,
            entryCount = { control.directory.entries().size + 1 },
            usage = control.usage,
            peers = peerHandler(control),
            nowMs = nowMs,
            registry = registry,
        )
    val entry = Entry(scope, settings, links, parts)
    control.start(scope, links) { entry.summary().agents }
    val addresses = entry.start()
    val operations =
        Operations(registry, { entry.isReady && control.config.isServingAllowed() }, { control.routes(this) }) {
            putEntry(entry.summary(), control.config.view.value.version, nowMs())
        }
    val operators = startOperators(settings, identity, operations, requestDrain)
    val bound =
        linkedMapOf("callers" to addresses.callers, "operators" to operators.first, "internal" to addresses.internal)
    return Running(bound) {
        control.leave()
        entry.drain()
        control.stop()
        operators.second.stop()
    }
}

private fun Settings.entryControl(identity: LinkIdentity) =
    EntryControl(
        ControlIdentity(
            instance,
            identity.incarnation,
            dataCentre,
            seeds,
            isolationLimitMs.milliseconds,
            usageWindowMs.milliseconds,
        ),
        platformAt(requireNotNull(platformUrl) { "an entry has a platform_url" }),
    )

private fun platformAt(url: String) = httpPlatform(HttpPlatformSettings(url)).platform

private fun Settings.agentControl(
    platformUrl: String,
    identity: LinkIdentity,
) = AgentControl(
    identity.incarnation,
    platformAt(platformUrl),
    usageWindow = usageWindowMs.milliseconds,
)

private fun peerHandler(control: EntryControl) =
    object : PeerHandler {
        override suspend fun serveEntryLink(link: Link) = control.entryLink(link)
    }

private suspend fun startOperators(
    settings: Settings,
    identity: LinkIdentity,
    operations: Operations,
    requestDrain: () -> Unit,
): Pair<String, OperatorServer> {
    val server =
        OperatorServer(
            OperatorParts(
                operatorKeySha256 = settings.operatorKeySha256,
                registry = operations.registry,
                isReady = operations.isReady,
                state = { stateDump(identity, operations.isReady(), operations.state) },
                drain = requestDrain,
                routes = operations.routes,
            ),
        )
    return server.start(settings.addresses.operators) to server
}

private fun Settings.linkContext(
    identity: LinkIdentity,
    versions: () -> Message.Versions,
) = LinkContext(
    identity,
    sharedSecretFile.readText().trim().encodeToByteArray(),
    SelectorManager(Dispatchers.IO),
    versions = versions,
)
