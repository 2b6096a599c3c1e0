/*
 * Values that messages are made of.
 */
package io.teaselspring.protocol

import io.teaselspring.core.ClassName
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The role of a process. */
@Serializable
public enum class Role {
    @SerialName("entry")
    ENTRY,

    @SerialName("agent")
    AGENT,
}

/** What kind of call a submitted request is. */
@Serializable
public enum class RequestKind {
    /** A chat completion on a model engine; the agent reads the engine's event stream. */
    @SerialName("chat")
    CHAT,

    /** A call on a plain service, passed through. */
    @SerialName("http")
    HTTP,
}

/** Whether a request that failed can have run. */
@Serializable
public enum class RunState {
    /** The request has certainly not run and will not run. */
    @SerialName("not_run")
    NOT_RUN,

    /** The request may have run, in whole or in part. */
    @SerialName("unknown")
    UNKNOWN,
}

/** Why an agent did not run a request. */
@Serializable
public enum class NotRunReason {
    /** The predicted wait misses the class's target. */
    @SerialName("late")
    TOO_LATE,

    /** The queue is full. */
    @SerialName("full")
    QUEUE_FULL,

    /** Evicted from the queue for a request of a higher tier. */
    @SerialName("displaced")
    DISPLACED,

    /** The agent or its upstream is draining or stopped. */
    @SerialName("draining")
    DRAINING,

    /** The upstream does not answer. */
    @SerialName("upstream_down")
    UPSTREAM_DOWN,

    /** The key was withdrawn. */
    @SerialName("key_withdrawn")
    KEY_WITHDRAWN,

    /** The request id was already recorded or cancelled. */
    @SerialName("duplicate")
    DUPLICATE,

    /** The model or path is not served here. */
    @SerialName("not_served")
    NOT_SERVED,
}

/** One header of a passed-through call. */
@Serializable
public data class Header(
    val name: String,
    val value: String,
)

/**
 * What one attempt used, in tokens (requests for plain services have 0). [sequence] counts the records that this agent
 * incarnation produced for one entry incarnation, from 1.
 */
@Serializable
public data class UsageRecord(
    val sequence: Long,
    val requestId: RequestId,
    val organisation: OrganisationId?,
    val serviceClass: ClassName,
    val promptTokens: Long,
    val completionTokens: Long,
    val finishedAtMs: Long,
)
