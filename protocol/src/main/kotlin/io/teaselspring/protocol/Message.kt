/*
 * Messages between the system's own processes. Every connection starts with Hello and Proof from both sides. Requests
 * are multiplexed: a response carries the request id and the attempt and is never matched by its order.
 *
 * Serial names are short because the type name travels with each message; control traffic has a budget of 4 KB/s per
 * daemon.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package io.teaselspring.protocol

import io.teaselspring.core.ClassName
import io.teaselspring.core.DataCentre
import io.teaselspring.core.Incarnation
import io.teaselspring.core.InstanceId
import io.teaselspring.core.KeyId
import io.teaselspring.core.ModelName
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.RequestId
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.config.ConfigChange
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** Version of this protocol; peers with another major version are refused. */
public const val PROTOCOL_VERSION: Int = 1

/** Largest number of chunks of one attempt that an agent sends beyond the last ones reported as received. */
public const val CHUNK_WINDOW: Int = 64

/** A message between two processes of the system. */
@Serializable
public sealed interface Message {
    /** Opens a connection. [nonce] is 32 random bytes that the peer's [Proof] covers. */
    @Serializable
    @SerialName("hi")
    public data class Hello(
        val version: Int,
        val instance: InstanceId,
        val incarnation: Incarnation,
        val role: Role,
        val dataCentre: DataCentre,
        @ByteString val nonce: ByteArray,
        val upstream: UpstreamName? = null,
        val models: List<ModelName> = emptyList(),
    ) : Message

    /** HMAC-SHA256 by the shared secret over the roles and both nonces. */
    @Serializable
    @SerialName("proof")
    public data class Proof(
        @ByteString val mac: ByteArray,
    ) : Message

    /**
     * Offers a request to an agent. [firstTokenBudgetMs] is what is left until the class's first-token target,
     * [deadlineMs] what is left until the caller's deadline. With [displace], lower tiers may be evicted for it.
     * [resumeOffset] is the number of stream events that the caller has already received.
     */
    @Serializable
    @SerialName("submit")
    public data class Submit(
        val requestId: RequestId,
        val attempt: Int,
        val organisation: OrganisationId?,
        val organisationWeight: Int,
        val keyId: KeyId?,
        val serviceClass: ClassName,
        val tier: Int,
        val classWeight: Int,
        val firstTokenBudgetMs: Long,
        val betweenTokensTargetMs: Long?,
        val deadlineMs: Long,
        val displace: Boolean,
        val idempotent: Boolean,
        val kind: RequestKind,
        val model: ModelName?,
        val method: String,
        val path: String,
        val headers: List<Header>,
        @ByteString val body: ByteArray,
        val resumeOffset: Long = 0,
    ) : Message

    /** Gives up a request; the agent cancels it and refuses it if it arrives later. */
    @Serializable
    @SerialName("cancel")
    public data class Cancel(
        val requestId: RequestId,
        val attempt: Int,
    ) : Message

    /**
     * The entry has passed all chunks before [nextOffset] to the caller. The agent keeps at most [CHUNK_WINDOW] chunks
     * beyond it on the way, so that a slow caller holds up its own request only.
     */
    @Serializable
    @SerialName("received")
    public data class Received(
        val requestId: RequestId,
        val attempt: Int,
        val nextOffset: Long,
    ) : Message

    /** The agent has queued or started the request. */
    @Serializable
    @SerialName("accepted")
    public data class Accepted(
        val requestId: RequestId,
        val attempt: Int,
    ) : Message

    /** The request has not run on this agent and will not. [retryAfterMs] is a predicted wait. */
    @Serializable
    @SerialName("notrun")
    public data class NotRun(
        val requestId: RequestId,
        val attempt: Int,
        val reason: NotRunReason,
        val retryAfterMs: Long,
    ) : Message

    /** The upstream's response has begun. */
    @Serializable
    @SerialName("started")
    public data class Started(
        val requestId: RequestId,
        val attempt: Int,
        val status: Int,
        val headers: List<Header>,
    ) : Message

    /** Part of the response; [offset] counts chunks from 0, and for chat streams the engine's event ids. */
    @Serializable
    @SerialName("chunk")
    public data class Chunk(
        val requestId: RequestId,
        val attempt: Int,
        val offset: Long,
        @ByteString val bytes: ByteArray,
    ) : Message

    /** The whole response was sent as [chunkCount] chunks, counted with those before a resume. */
    @Serializable
    @SerialName("finished")
    public data class Finished(
        val requestId: RequestId,
        val attempt: Int,
        val chunkCount: Long,
        val usage: UsageRecord?,
    ) : Message

    /** The attempt ended without a whole response; [keyWithdrawn] tells that this is because its key was withdrawn. */
    @Serializable
    @SerialName("failed")
    public data class Failed(
        val requestId: RequestId,
        val attempt: Int,
        val runState: RunState,
        val detail: String,
        val usage: UsageRecord? = null,
        val keyWithdrawn: Boolean = false,
    ) : Message

    /**
     * State of one agent. [firstTokenEstimateMs] predicts the first token of a request of the lowest tier that arrives
     * now. [lowestTier] is the lowest tier queued or running, null when idle. [flushedUsageSequence] is the last usage
     * record of this connection's entry that is stored. With an upstream that is leaving the agent is [draining]; one
     * in a pause wants no requests for [pausedForMs].
     */
    @Serializable
    @SerialName("load")
    public data class Load(
        val running: Int,
        val queued: Int,
        val limit: Int,
        val lowestTier: Int?,
        val firstTokenEstimateMs: Long,
        val flushedUsageSequence: Long,
        val draining: Boolean,
        val configVersion: Long,
        val pausedForMs: Long = 0,
    ) : Message

    /** Key ids that were withdrawn; running requests of these keys end. */
    @Serializable
    @SerialName("withdrawn")
    public data class KeysWithdrawn(
        val keyIds: List<KeyId>,
    ) : Message

    /** What the sender knows, so that a peer that lags asks for the rest. */
    @Serializable
    @SerialName("versions")
    public data class Versions(
        val configVersion: Long,
        val withdrawalCount: Int,
        val withdrawalDigest: Long,
    ) : Message

    /** Asks for the changes after [afterVersion], and for all withdrawn keys if [withdrawals]. */
    @Serializable
    @SerialName("config?")
    public data class ConfigRequest(
        val afterVersion: Long,
        val withdrawals: Boolean,
    ) : Message

    /** Consecutive changes of the configuration. */
    @Serializable
    @SerialName("config")
    public data class ConfigChanges(
        val changes: List<ConfigChange>,
    ) : Message

    /** A whole configuration state as JSON, for a peer that lags behind the change log. */
    @Serializable
    @SerialName("snapshot")
    public data class ConfigSnapshot(
        @ByteString val stateJson: ByteArray,
    ) : Message

    /** The sender is leaving and takes no new work. */
    @Serializable
    @SerialName("bye")
    public data object Goodbye : Message
}
