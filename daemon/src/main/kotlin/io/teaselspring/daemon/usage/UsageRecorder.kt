/*
 * Where usage goes. An agent hands over each record as it produces it, an entry each record that it learns of.
 */
package io.teaselspring.daemon.usage

import io.teaselspring.core.Incarnation
import io.teaselspring.protocol.UsageRecord

/** Takes the usage that an agent's upstream produced. Calls must not block. */
interface UsageRecorder {
    /** Records what a request of [entry], an incarnation, used; the sequences of one entry are consecutive. */
    fun record(
        entry: Incarnation,
        record: UsageRecord,
    )

    /** The sequence of the last record of [entry] that is stored, 0 if none. */
    fun flushedSequence(entry: Incarnation): Long
}

/** Takes the usage that an entry learns of from agents. Calls must not block. */
interface ReceivedUsage {
    /** A record of the agent with the incarnation [agent] arrived. */
    fun received(
        agent: Incarnation,
        record: UsageRecord,
    )

    /** The agent has stored all records up to [sequence]. */
    fun flushed(
        agent: Incarnation,
        sequence: Long,
    )

    /** The link to the agent was lost. */
    fun agentLost(agent: Incarnation)
}

/** Keeps nothing. */
object NoUsage : UsageRecorder, ReceivedUsage {
    override fun record(
        entry: Incarnation,
        record: UsageRecord,
    ) = Unit

    override fun flushedSequence(entry: Incarnation): Long = 0

    override fun received(
        agent: Incarnation,
        record: UsageRecord,
    ) = Unit

    override fun flushed(
        agent: Incarnation,
        sequence: Long,
    ) = Unit

    override fun agentLost(agent: Incarnation) = Unit
}
