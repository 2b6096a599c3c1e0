/*
 * Policies for requests with prompts: the queue and placement of the entries, and two baselines that decide at once.
 */
package io.teaselspring.experiment.prompts

import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.limit.InstanceLimit
import io.teaselspring.core.placement.InstanceView
import io.teaselspring.core.placement.KnownLoad
import io.teaselspring.core.placement.LatencyGroup
import io.teaselspring.core.placement.PlacementCandidate
import io.teaselspring.core.placement.PlacementPolicy
import io.teaselspring.core.placement.PlacementRequest
import io.teaselspring.core.placement.PrefixCacheEstimate
import io.teaselspring.core.placement.PromptPart
import io.teaselspring.core.placement.QueuePolicy
import io.teaselspring.core.placement.QueuedRequest
import io.teaselspring.core.placement.RequestQueue
import io.teaselspring.core.placement.chooseInstance
import io.teaselspring.core.registry.StatedAvailability
import io.teaselspring.experiment.EventLoop
import kotlin.random.Random

/** Whether an engine that has [stated] something may get one more request beside [ownRequests] of the entry. */
typealias Admission = (stated: StatedAvailability, ownRequests: Int, slots: Int, nowMs: Long) -> Boolean

/** An engine as one entry sees it. */
class EntryInstanceView(
    val engine: PromptEngine,
    private val loop: EventLoop,
) : InstanceView {
    private val prefixCache = PrefixCacheEstimate()
    override val load = KnownLoad()

    /** What the entry knows of the limit that the engine states; null if entries ignore limits. */
    var limit: () -> InstanceLimit? = { null }
    override val hasPermit get() = (limit()?.hasPermit(loop.nowMs) ?: true) && admitsRequest
    private var process = engine.crashes

    /** What the process that the entry knows has said in its responses. */
    var stated = StatedAvailability()
        get() {
            if (process != engine.crashes) {
                process = engine.crashes
                field = StatedAvailability()
            }
            return field
        }
        private set

    /** How the entry heeds [stated]. */
    var admission: Admission = StatedAvailability::admits

    /** Whether the engine may get one more request by what it has said and by its row in the registry. */
    val admitsRequest get() = !engine.isDraining && admission(stated, load.ownRequests, slots, loop.nowMs)
    override val id: InstanceId get() = engine.id

    /** Whether the entry places requests by the work times that engines state. */
    var heedsWorkTime = true
    override val speed: Double get() = if (heedsWorkTime) load.workTime.speed else 1.0
    override val isEjected get() = !engine.isUp
    override var pendingPrefillTokens = 0L
    override val slots: Int get() = engine.slots
    override val memoryTokens: Long get() = engine.memoryTokens

    override fun uncachedTokens(
        parts: List<PromptPart>,
        isPreferred: Boolean,
    ) = prefixCache.uncachedTokens(parts, isPreferred)

    fun recordPrompt(parts: List<PromptPart>): Long =
        uncachedTokens(parts, isPreferred = true).also { prefixCache.recordPrompt(parts) }

    fun requestStarted(
        unsharedTokens: Long,
        uncachedTokens: Long,
    ) {
        load.requestStarted(unsharedTokens)
        pendingPrefillTokens += uncachedTokens
    }

    /** The response has begun; its head bears the load of the engine. */
    fun prefillEnded(uncachedTokens: Long) {
        pendingPrefillTokens -= uncachedTokens
        load.record(engine.reportedLoad, loop.nowMs)
    }

    fun requestEnded(unsharedTokens: Long) = load.requestEnded(unsharedTokens)
}

/** What an entry does with its requests: [send] passes one on, [refuse] gives it up. */
class EntryActions(
    val send: (request: PromptRequest, engine: EntryInstanceView, uncachedTokens: Long) -> Unit,
    val refuse: (request: PromptRequest) -> Unit,
)

/** Decides for one entry of several. */
interface PromptRouter {
    fun submit(request: PromptRequest)

    /** An engine has taken up work. */
    fun changed()
}

/**
 * A policy by its name. If entries [cooperate], they refuse requests with parts that crash engines, and keep the limits
 * that engines state. By [admission] they heed that engines leave or want a pause.
 */
class PromptPolicy(
    val name: String,
    val cooperate: Boolean = false,
    val admission: Admission = { _, _, _, _ -> true },
    val heedsWorkTime: Boolean = true,
    val router: (
        loop: EventLoop,
        engines: List<EntryInstanceView>,
        entries: Int,
        actions: EntryActions,
    ) -> PromptRouter,
)

private class QueueRouter(
    private val loop: EventLoop,
    private val engines: List<EntryInstanceView>,
    policy: QueuePolicy,
    entries: Int,
    private val actions: EntryActions,
) : PromptRouter {
    private val queue = RequestQueue(policy) { entries }
    private val requests = HashMap<Long, PromptRequest>()
    private var isScheduled = false
    private var groups = 1

    override fun submit(request: PromptRequest) {
        val targetMs = request.profile.targetMs
        requests[request.id] = request
        groups = request.group.count
        queue.add(
            QueuedRequest(
                request.id,
                request.prompt,
                request.group,
                request.profile.priority,
                request.arrivedMs,
                lateAfterMs = request.arrivedMs + targetMs * LATE_PCT / PERCENT,
                refuseAfterMs = request.arrivedMs + targetMs * REFUSE_PCT / PERCENT,
            ),
        )
        changed()
    }

    override fun changed() {
        val refused =
            queue.dispatch(loop.nowMs, engines.filter { it.admitsRequest }, groups) { start ->
                val engine = engines.single { it.id == start.instance }
                actions.send(requests.getValue(start.request.id), engine, engine.recordPrompt(start.request.parts))
            }
        refused.forEach { actions.refuse(requests.getValue(it.request.id)) }
        if (queue.size > 0 && !isScheduled) {
            isScheduled = true
            loop.after(STEP_US) {
                isScheduled = false
                changed()
            }
        }
    }

    private companion object {
        const val LATE_PCT = 80
        const val REFUSE_PCT = 120
        const val PERCENT = 100
        const val STEP_US = 20_000L
    }
}

private class ImmediateRouter(
    private val loop: EventLoop,
    private val engines: List<EntryInstanceView>,
    private val actions: EntryActions,
    private val random: Random,
    private val partOf: (PromptRequest) -> String?,
) : PromptRouter {
    override fun submit(request: PromptRequest) {
        val candidates =
            engines.map {
                PlacementCandidate(
                    it.id,
                    HOME,
                    SLOTS,
                    it.load.requestsAt(loop.nowMs),
                    it.pendingPrefillTokens,
                    isEjected = false,
                )
            }
        val placement = PlacementRequest(partOf(request), LatencyGroup.ONLY, HOME)
        val chosen = checkNotNull(chooseInstance(candidates, placement, emptySet(), random::nextInt, NEVER_SPILL))
        val engine = engines.single { it.id == chosen.id }
        actions.send(request, engine, engine.recordPrompt(request.prompt))
    }

    override fun changed() = Unit

    private companion object {
        val HOME = DataCentre("one")
        const val SLOTS = 64
        val NEVER_SPILL = PlacementPolicy(spillRatio = 1e9, spillPrefillTokens = Long.MAX_VALUE)
    }
}

/** The entries' own policy with [policy] as its figures. */
fun queuePolicy(
    name: String = "teaselspring",
    policy: QueuePolicy = QueuePolicy(),
    heedsWorkTime: Boolean = true,
    admission: Admission = StatedAvailability::admits,
) = PromptPolicy(
    name,
    cooperate = true,
    admission,
    heedsWorkTime,
) { loop, engines, entries, actions -> QueueRouter(loop, engines, policy, entries, actions) }

/** The engine by the hash of the longest shared part, whatever its load. */
val prefixHash =
    PromptPolicy("prefix hash") { loop, engines, _, actions ->
        ImmediateRouter(loop, engines, actions, Random(1)) { request -> request.prompt[request.prompt.size - 2].id }
    }

/** The engine with the least work as far as known. */
val leastLoaded =
    PromptPolicy("least loaded") { loop, engines, _, actions ->
        ImmediateRouter(loop, engines, actions, Random(1)) {
            null
        }
    }
