/*
 * The configuration of this process in memory: the change log, the index of keys and the withdrawals that the log
 * does not have yet. Everything that arrives from the store or from peers goes through here, under one lock.
 */
package io.teaselspring.daemon.config

import io.teaselspring.core.DataCentre
import io.teaselspring.core.KeyId
import io.teaselspring.core.config.ApplyResult
import io.teaselspring.core.config.ConfigChange
import io.teaselspring.core.config.ConfigLog
import io.teaselspring.core.config.ConfigState
import io.teaselspring.core.config.SiteConfig
import io.teaselspring.core.config.siteConfig
import io.teaselspring.core.keys.KeyIndex
import io.teaselspring.core.keys.PendingWithdrawals
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableSharedFlow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asSharedFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.serialization.SerializationException
import org.slf4j.LoggerFactory
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TimeMark
import kotlin.time.TimeSource

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.config")

/** No request runs longer than this, so a key withdrawn earlier is not on any running request. */
private val LONGEST_REQUEST = 2.hours

/**
 * The configuration in force in [dataCentre]. [isolationLimit] is how long this process serves without contact to the
 * store or a peer. All functions may be called from any thread.
 */
class ConfigHolder(
    private val dataCentre: DataCentre,
    private val clock: Clock,
    private val timeSource: TimeSource,
    private val isolationLimit: Duration = 10.minutes,
) : ConfigSource {
    private val configLog = ConfigLog()
    private val pendingWithdrawals = PendingWithdrawals()
    private val currentView = MutableStateFlow(SiteView(0, SiteConfig(), emptyMap()))

    // Without a limit, because a withdrawal must not be lost by a slow collector; sets are small and rare.
    private val withdrawn = MutableSharedFlow<Set<KeyId>>(extraBufferCapacity = Int.MAX_VALUE)

    @Volatile
    private var index = KeyIndex(emptyMap())

    @Volatile
    private var pendingKeys = emptySet<KeyId>()

    // Kept apart, because the request path asks often and there may be tens of thousands of keys.
    @Volatile
    private var withdrawnAtMs = emptyMap<KeyId, Long>()

    @Volatile
    private var lastContact: TimeMark? = null

    override val view: StateFlow<SiteView> = currentView.asStateFlow()
    override val withdrawals: Flow<Set<KeyId>> = withdrawn.asSharedFlow()

    /** The whole configuration in force. */
    val state: ConfigState
        get() = synchronized(this) { configLog.state }

    /** Withdrawals that the change log does not have. */
    fun pending(): Set<KeyId> = pendingKeys

    /** Version, number and digest of pending withdrawals, as peers compare them. */
    fun summary(): ConfigSummary =
        synchronized(this) {
            ConfigSummary(configLog.state.version, pendingWithdrawals.count, pendingWithdrawals.digest)
        }

    override fun withdrawnKeys(): Set<KeyId> {
        val since = clock.now().toEpochMilliseconds() - LONGEST_REQUEST.inWholeMilliseconds
        return withdrawnAtMs.filterValues { it >= since }.keys + pendingKeys
    }

    override fun authenticate(secret: String): Caller? =
        index
            .find(secret)
            ?.takeUnless { (id, _) -> id in pendingKeys }
            ?.let { (id, key) -> Caller(id, key.organisation) }

    override fun isServingAllowed(): Boolean = lastContact?.let { it.elapsedNow() <= isolationLimit } ?: false

    /** Notes that the store or a peer answered. */
    fun noteContact() {
        lastContact = timeSource.markNow()
    }

    /** Applies the changes that are next in sequence. */
    fun apply(changes: List<ConfigChange>): ApplyResult =
        synchronized(this) {
            val before = configLog.state
            configLog.applyNew(changes).also { if (it == ApplyResult.APPLIED) publish(before) }
        }

    /** Installs [snapshot] if it is newer than what is known. */
    fun install(snapshot: ConfigState): Boolean =
        synchronized(this) {
            val before = configLog.state
            configLog.installSnapshot(snapshot).also { if (it) publish(before) }
        }

    /** Withdraws keys at once and returns those that were not known to be withdrawn. */
    fun withdraw(ids: Collection<KeyId>): Set<KeyId> =
        synchronized(this) {
            val new = pendingWithdrawals.add(ids, configLog.state)
            pendingKeys = pendingWithdrawals.pending
            if (new.isNotEmpty()) withdrawn.tryEmit(new)
            new
        }

    /** The kept changes after [version], or null if a snapshot is needed. */
    fun changesAfter(version: Long): List<ConfigChange>? = synchronized(this) { configLog.changesAfter(version) }

    /** The latest changes, newest first. */
    fun history(count: Int): List<ConfigChange> = synchronized(this) { configLog.recent(count) }

    private fun publish(before: ConfigState) {
        val after = configLog.state
        if (after.keys != before.keys) {
            index = KeyIndex(after.keys)
            withdrawnAtMs = recentlyWithdrawn(after)
            val ended =
                before.keys
                    .filter { (id, key) -> key.withdrawnAtMs == null && after.keys[id]?.withdrawnAtMs != null }
                    .keys - pendingKeys
            pendingWithdrawals.removeRecorded(after)
            pendingKeys = pendingWithdrawals.pending
            if (ended.isNotEmpty()) withdrawn.tryEmit(ended)
        }
        currentView.value = SiteView(after.version, siteOf(after), after.organisations)
        log.info("event=config_applied version={} from={}", after.version, before.version)
    }

    private fun recentlyWithdrawn(state: ConfigState): Map<KeyId, Long> {
        val since = clock.now().toEpochMilliseconds() - LONGEST_REQUEST.inWholeMilliseconds
        return state.keys
            .mapNotNull { (id, key) ->
                key.withdrawnAtMs?.takeIf { it >= since }?.let { id to it }
            }.toMap()
    }

    /** A document that this program cannot read, from a newer one, leaves the site as it is. */
    private fun siteOf(state: ConfigState): SiteConfig =
        try {
            state.siteConfig(dataCentre)
        } catch (e: SerializationException) {
            log.error("event=config_unreadable version={} error=\"{}\"", state.version, e.message)
            currentView.value.site
        }
}

/** What peers compare to see whether they know the same. */
data class ConfigSummary(
    val version: Long,
    val withdrawalCount: Int,
    val withdrawalDigest: Long,
)
