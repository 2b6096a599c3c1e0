/*
 * An entry, the front end of the router: accepts callers' HTTP requests and dispatches them to agents.
 */
package io.teaselspring.daemon.entry

import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.teaselspring.daemon.MonotonicMs
import io.teaselspring.daemon.config.ConfigSource
import io.teaselspring.daemon.launchRestarting
import io.teaselspring.daemon.link.Link
import io.teaselspring.daemon.link.LinkContext
import io.teaselspring.daemon.link.LinkListener
import io.teaselspring.daemon.link.listenForLinks
import io.teaselspring.daemon.milliseconds
import io.teaselspring.daemon.settings.RequestLimits
import io.teaselspring.daemon.settings.Settings
import io.teaselspring.daemon.usage.NoUsage
import io.teaselspring.daemon.usage.ReceivedUsage
import io.teaselspring.protocol.Role
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.entry")

/**
 * Dependencies of an entry. [entryCount] is the number of live entries, which share the organisations'
 * limits. [drainNotice] is the time between the start of a drain, which clears readiness, and the refusal of new
 * requests.
 */
class EntryDependencies(
    val config: ConfigSource,
    val directory: AgentDirectory,
    val outcomes: OutcomeStore = NoOutcomeStore,
    val usage: ReceivedUsage = NoUsage,
    val entryCount: () -> Int = { 1 },
    val peers: PeerHandler = object : PeerHandler {},
    val nowMs: MonotonicMs = TimeSource.Monotonic.milliseconds(),
    val random: Random = Random.Default,
    val drainNotice: Duration = 2.seconds,
    val registry: PrometheusRegistry = PrometheusRegistry(),
)

/** Where an entry listens, "IP:port". */
data class EntryAddresses(
    val callers: String,
    val internal: String,
)

/** An entry with [settings]. It runs in [scope] until that is cancelled. */
class Entry(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val links: LinkContext,
    private val dependencies: EntryDependencies,
) {
    private val limits: RequestLimits = settings.limits
    private val inboxes = Inboxes()
    private val pool =
        AgentPool(
            links,
            inboxes,
            dependencies.config::withdrawnKeys,
            dependencies.usage,
            dependencies.peers,
            dependencies.nowMs,
        )
    private val runs =
        RunContext(
            localDataCentre = settings.dataCentre,
            pool = pool,
            inboxes = inboxes,
            retries = SharedRetryBudget(dependencies.nowMs),
            withdrawnKeys = dependencies.config::withdrawnKeys,
            streamIdleMs = limits.streamIdleMs,
            nowMs = dependencies.nowMs,
            random = dependencies.random::nextInt,
            observer = EntryMetrics(dependencies.registry, inboxes::size),
        )
    private val organisationLimits =
        OrganisationLimits(
            { dependencies.config.view.value.organisations },
            dependencies.entryCount,
            dependencies.nowMs,
        )
    private val handler =
        CallerHandler(
            scope,
            dependencies.config,
            runs,
            dependencies.outcomes,
            limits,
            organisationLimits::admit,
            RequestIds()::next,
        )
    private val callers = CallerServer(handler, limits)
    private var listener: LinkListener? = null

    /** Readiness: true while this entry accepts callers' requests. */
    @Volatile
    var isReady: Boolean = false
        private set

    /** Starts the entry; returns the addresses that it listens on. */
    suspend fun start(): EntryAddresses {
        val internal = scope.listenForLinks(links, settings.addresses.internal, ::serve)
        listener = internal
        scope.launchRestarting("key_withdrawals") {
            dependencies.config.withdrawals.collect { keyIds ->
                inboxes.deliverWithdrawal(keyIds)
                pool.sendWithdrawal(keyIds)
            }
        }
        pool.start(scope, dependencies.directory)
        val address = callers.start(requireNotNull(settings.addresses.callers), settings.callersTls)
        isReady = true
        return EntryAddresses(address, internal.address)
    }

    /** Clears readiness, serves callers for the notice period, then refuses new requests and waits for running ones. */
    suspend fun drain() {
        log.info("event=drain_started running={}", inboxes.size)
        isReady = false
        delay(dependencies.drainNotice)
        callers.refuseNew()
        pool.sendGoodbye()
        listener?.stopAccepting()
        while (callers.inFlight > 0 || inboxes.size > 0) delay(DRAIN_POLL)
        callers.stop()
        log.info("event=drained")
    }

    /** Closes the listener for callers and their connections at once. */
    suspend fun close() = callers.stop()

    /** Request counts and agents for the state dump. */
    fun summary(): EntrySummary = EntrySummary(inboxes.size, callers.inFlight, pool.views())

    private suspend fun serve(link: Link) {
        if (link.peer.role == Role.ENTRY) dependencies.peers.serveEntryLink(link)
    }

    private companion object {
        val DRAIN_POLL = 20.milliseconds
    }
}
