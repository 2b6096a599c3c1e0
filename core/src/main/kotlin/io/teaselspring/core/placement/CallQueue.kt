/*
 * The queue of an entry for calls with a prompt. Each engine gets only as many unread prompt tokens as it can take
 * up soon; what exceeds that waits here, where a crash of the engine cannot lose it, and in order of priority. A
 * call goes to the engine that keeps its shared part, and to another one only when reading the part again costs
 * less than the wait. A call that has waited too long to be worth its work is refused at once.
 */
package io.teaselspring.core.placement

import io.teaselspring.core.InstanceId

/** A part of a prompt. */
public data class PromptPart(
    val id: String,
    val tokens: Long,
)

/**
 * A call that waits. The last of [parts] is its own, the others are shared. [group] tells which engines it may go to.
 * [refuseAfterMs] is the moment after which it is not worth starting any more, [lateAfterMs] the one after which its
 * answer comes late.
 */
public data class QueuedCall(
    val id: Long,
    val parts: List<PromptPart>,
    val group: CallGroup,
    val priority: Int,
    val arrivedMs: Long,
    val lateAfterMs: Long,
    val refuseAfterMs: Long,
)

/** An engine as the queue sees it. [unreadTokens] estimates how many of the parts' tokens it would have to read. */
public interface EngineView {
    public val id: InstanceId
    public val isAvoided: Boolean

    /** Requests of all entries that run or wait there, as far as known. */
    public val work: Double

    /** Prompt tokens that this entry has sent and that have not led to a first token. */
    public val pendingTokens: Long

    /** How many tokens of [parts] the engine would read; at their home other entries may have sent the shared ones. */
    public fun unreadTokens(
        parts: List<PromptPart>,
        isHome: Boolean,
    ): Long
}

/** What becomes of a call. */
public sealed interface QueueDecision {
    public val call: QueuedCall

    /** It goes to [engine] now. */
    public data class Start(
        override val call: QueuedCall,
        val engine: InstanceId,
    ) : QueueDecision

    /** It is given up. */
    public data class Refuse(
        override val call: QueuedCall,
    ) : QueueDecision
}

/**
 * The rules. An engine takes a call when it has nothing unread from this entry, or when no more than this entry's
 * share of [windowTokens] is unread with it, of [interactiveWindowTokens] for interactive calls. A call is sent away
 * from its home when it has waited [spillAfterMs] and another engine could read the whole prompt in less than
 * [spillShare] of the time that the home needs, taking all entries to send alike. An engine with [mostWork] requests
 * takes no more.
 */
public data class QueuePolicy(
    val windowTokens: Long = 50_000,
    val interactiveWindowTokens: Long = 20_000,
    val spillAfterMs: Long = 1_500,
    val spillShare: Double = 0.3,
    val mostWork: Double = 60.0,
)

/** The queue of one of [entries] entries. Not thread-safe. */
public class CallQueue(
    private val policy: QueuePolicy = QueuePolicy(),
    private val entries: () -> Int,
) {
    private val waiting = ArrayList<QueuedCall>()

    /** Calls that wait. */
    public val size: Int get() = waiting.size

    /** Adds [call]. */
    public fun add(call: QueuedCall) {
        waiting += call
    }

    /** Drops the call [id], whose caller has left. */
    public fun remove(id: Long) {
        waiting.removeAll { it.id == id }
    }

    /**
     * Decides at [nowMs] what becomes of the waiting calls on [engines], which are shared out to [groups] groups of
     * calls. [started] is called for each start before the next call is looked at, so that
     * the engines' figures are up to date.
     */
    public fun dispatch(
        nowMs: Long,
        engines: List<EngineView>,
        groups: Int,
        started: (QueueDecision.Start) -> Unit,
    ): List<QueueDecision.Refuse> {
        val shares = SharedEngines(engines, groups)
        // What comes too late for its target follows what can still make it, within each priority.
        waiting.sortWith(compareBy({ it.priority }, { nowMs >= it.lateAfterMs }, { it.arrivedMs }))
        val refused = mutableListOf<QueueDecision.Refuse>()
        val remaining = waiting.toList()
        waiting.clear()
        for (call in remaining) {
            val engine = engineFor(call, shares.of(call), nowMs) ?: shares.overflowFor(call)
            when {
                engine != null -> started(QueueDecision.Start(call, engine.id))
                nowMs >= call.refuseAfterMs -> refused += QueueDecision.Refuse(call)
                else -> waiting += call
            }
        }
        return refused
    }

    private fun engineFor(
        call: QueuedCall,
        engines: List<EngineView>,
        nowMs: Long,
    ): EngineView? {
        val home = homeOf(call, engines) ?: return null
        val atHome = home.unreadTokens(call.parts, isHome = true)
        if (home.hasRoom(atHome, windowOf(call))) return home
        if (nowMs - call.arrivedMs < policy.spillAfterMs) return null
        val limit = (home.pendingTokens * entries() + atHome) * policy.spillShare
        return engines
            .filter { it !== home }
            .map { it to it.unreadTokens(call.parts, isHome = false) }
            .filter { (engine, unread) ->
                engine.hasRoom(unread, windowOf(call)) &&
                    engine.pendingTokens * entries() + unread < limit
            }.minByOrNull { (engine, unread) -> engine.pendingTokens * entries() + unread }
            ?.first
    }

    private fun homeOf(
        call: QueuedCall,
        engines: List<EngineView>,
    ): EngineView? {
        val part = (if (call.parts.size > 1) call.parts[call.parts.size - 2] else call.parts.firstOrNull())?.id
        return engines.maxByOrNull { rank(part.orEmpty(), it.id) }
    }

    private fun windowOf(call: QueuedCall) =
        (if (call.group.isInteractive) policy.interactiveWindowTokens else policy.windowTokens) / entries()

    private fun EngineView.hasRoom(
        unread: Long,
        windowTokens: Long,
    ) = work < policy.mostWork && (pendingTokens == 0L || pendingTokens + unread <= windowTokens)

    private inner class SharedEngines(
        engines: List<EngineView>,
        groups: Int,
    ) {
        private val sound = engines.filter { !it.isAvoided }.ifEmpty { engines }
        private val groupByEngine = shareOut(engines.map { it.id }, groups)

        fun of(call: QueuedCall): List<EngineView> = soundOf(call.group, sound, groupByEngine) { it.id }

        /** The first engine of another group that can take an interactive call at once; it cannot wait long. */
        fun overflowFor(call: QueuedCall): EngineView? {
            if (!call.group.isInteractive || groupByEngine.isEmpty()) return null
            return sound
                .filter { groupByEngine[it.id] != call.group.index }
                .filter { it.hasRoom(it.unreadTokens(call.parts, isHome = false), windowOf(call)) }
                .maxByOrNull { shareRank(it.id) }
        }
    }
}
