/*
 * All state of the platform stand-in, behind one mutex: tables, objects, orders, usage reports, the list of instances
 * and the faults in force.
 */
package io.teaselspring.standins.platform

import io.teaselspring.standins.LaggedHistory
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Clock
import kotlin.time.TimeSource

/** Faults in force; each `POST /faults` replaces all of them. */
@Serializable
internal data class PlatformFaults(
    val outage: Boolean = false,
    val hang: Boolean = false,
    @SerialName("delay_ms") val delayMs: Long = 0,
    @SerialName("lose_responses") val loseResponses: Int = 0,
    @SerialName("lose_path_prefix") val losePathPrefix: String = "/",
    @SerialName("read_only") val readOnly: Boolean = false,
)

@Serializable
internal enum class InstanceRole {
    @SerialName("entry")
    ENTRY,

    @SerialName("agent")
    AGENT,
}

@Serializable
internal enum class InstanceState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}

@Serializable
internal data class Instance(
    val instance: String = "",
    val role: InstanceRole,
    @SerialName("data_centre") val dataCentre: String,
    @SerialName("internal_address") val internalAddress: String,
    @SerialName("operator_address") val operatorAddress: String,
    val upstream: String? = null,
    val state: InstanceState = InstanceState.LIVE,
)

@Serializable
internal data class Instances(
    val instances: List<Instance>,
)

/** Options of the platform that the interface leaves to the installation. */
internal data class PlatformSettings(
    val checksEpoch: Set<String> = emptySet(),
    val lagMs: Long = 1_000,
)

/** The parts are to be reached only through [locked]. */
internal class PlatformState(
    val settings: PlatformSettings,
    clock: Clock,
    timeSource: TimeSource.WithComparableMarks,
) {
    private val mutex = Mutex()
    val tables = Tables()
    val objects = mutableMapOf<String, ByteArray>()
    val receivers = OrderReceivers(settings.checksEpoch)
    val journal = Journal(clock)
    val instances = LaggedHistory(emptyMap<String, Instance>(), timeSource)
    var faults = PlatformFaults()

    suspend fun <T> locked(block: PlatformState.() -> T): T = mutex.withLock { block() }

    /** Whether the response of a write to [path] that took effect is to be lost; counts it. */
    fun losesResponse(path: String): Boolean {
        val loses = faults.loseResponses > 0 && path.startsWith(faults.losePathPrefix)
        if (loses) faults = faults.copy(loseResponses = faults.loseResponses - 1)
        return loses
    }
}
