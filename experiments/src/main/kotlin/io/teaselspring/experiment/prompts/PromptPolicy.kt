/*
 * Policies for calls with prompts: the queue and placement of the entries, and two baselines that decide at once.
 */
package io.teaselspring.experiment.prompts

import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.placement.CallGroup
import io.teaselspring.core.placement.CallQueue
import io.teaselspring.core.placement.EngineMemory
import io.teaselspring.core.placement.EngineView
import io.teaselspring.core.placement.PlacementCandidate
import io.teaselspring.core.placement.PlacementPolicy
import io.teaselspring.core.placement.PlacementRequest
import io.teaselspring.core.placement.PromptPart
import io.teaselspring.core.placement.QueuePolicy
import io.teaselspring.core.placement.QueuedCall
import io.teaselspring.core.placement.placeCall
import io.teaselspring.experiment.EventLoop
import kotlin.random.Random

/** An engine as one entry knows it. */
class KnownEngine(
    val engine: PromptEngine,
) : EngineView {
    private val memory = EngineMemory()
    override val id: InstanceId get() = engine.id
    override val isAvoided = false
    override var pendingTokens = 0L

    /** As last told with an answer. */
    override var work = 0.0

    override fun unreadTokens(
        parts: List<PromptPart>,
        isHome: Boolean,
    ) = memory.unreadTokens(parts, isHome)

    fun noteRead(parts: List<PromptPart>): Long = unreadTokens(parts, isHome = true).also { memory.noteRead(parts) }
}

/** What an entry does with its calls: [send] passes one on, [refuse] gives it up. */
class EntryActions(
    val send: (call: PromptCall, engine: KnownEngine, unreadTokens: Long) -> Unit,
    val refuse: (call: PromptCall) -> Unit,
)

/** Decides for one entry of several. */
interface PromptRouter {
    fun submit(call: PromptCall)

    /** An engine has taken up work. */
    fun changed()
}

/** A policy by its name. */
class PromptPolicy(
    val name: String,
    val router: (loop: EventLoop, engines: List<KnownEngine>, entries: Int, actions: EntryActions) -> PromptRouter,
)

private class QueueRouter(
    private val loop: EventLoop,
    private val engines: List<KnownEngine>,
    policy: QueuePolicy,
    entries: Int,
    private val actions: EntryActions,
) : PromptRouter {
    private val queue = CallQueue(policy) { entries }
    private val calls = HashMap<Long, PromptCall>()
    private var isScheduled = false
    private var groups = 1

    override fun submit(call: PromptCall) {
        val targetMs = call.profile.targetMs
        calls[call.id] = call
        groups = call.group.count
        queue.add(
            QueuedCall(
                call.id,
                call.prompt,
                call.group,
                call.profile.priority,
                call.arrivedMs,
                lateAfterMs = call.arrivedMs + targetMs * LATE_PCT / PERCENT,
                refuseAfterMs = call.arrivedMs + targetMs * REFUSE_PCT / PERCENT,
            ),
        )
        changed()
    }

    override fun changed() {
        val refused =
            queue.dispatch(loop.nowMs, engines, groups) { start ->
                val engine = engines.single { it.id == start.engine }
                actions.send(calls.getValue(start.call.id), engine, engine.noteRead(start.call.parts))
            }
        refused.forEach { actions.refuse(calls.getValue(it.call.id)) }
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
    private val engines: List<KnownEngine>,
    private val actions: EntryActions,
    private val random: Random,
    private val partOf: (PromptCall) -> String?,
) : PromptRouter {
    override fun submit(call: PromptCall) {
        val candidates =
            engines.map { PlacementCandidate(it.id, HOME, SLOTS, it.work, it.pendingTokens, isAvoided = false) }
        val request = PlacementRequest(partOf(call), CallGroup.ONLY, HOME)
        val chosen = checkNotNull(placeCall(candidates, request, emptySet(), random::nextInt, NEVER_SPILL))
        val engine = engines.single { it.id == chosen.id }
        actions.send(call, engine, engine.noteRead(call.prompt))
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
) = PromptPolicy(name) { loop, engines, entries, actions -> QueueRouter(loop, engines, policy, entries, actions) }

/** The engine by the hash of the longest shared part, whatever its load. */
val prefixHash =
    PromptPolicy("prefix hash") { _, engines, _, actions ->
        ImmediateRouter(engines, actions, Random(1)) { call -> call.prompt[call.prompt.size - 2].id }
    }

/** The engine with the least work as far as known. */
val leastLoaded =
    PromptPolicy("least loaded") { _, engines, _, actions -> ImmediateRouter(engines, actions, Random(1)) { null } }
