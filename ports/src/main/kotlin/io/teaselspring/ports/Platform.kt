/*
 * What the platform provides, as the system uses it: a transactional table, an object store, an interface for
 * ordering upstreams, one that accepts usage reports, and a list of instances that lags.
 */
package io.teaselspring.ports

import arrow.core.Either
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/** Row version that stands for "no such row" in conditions. */
public const val ABSENT: Long = 0

/** A row; [version] starts at 1 and rises with each write. */
@Serializable
public data class Row(
    val key: String,
    val version: Long,
    val value: JsonElement,
)

/** Part of a table in key order; [more] tells that rows follow after the last one. */
@Serializable
public data class RowPage(
    val rows: List<Row>,
    val more: Boolean = false,
)

/**
 * One write of a transaction. [ifVersion] is the version that the row must have, [ABSENT] for none, null for any. A
 * null [value] deletes the row.
 */
@Serializable
public data class TableWrite(
    val table: String,
    val key: String,
    @SerialName("if_version") val ifVersion: Long?,
    val value: JsonElement?,
)

/** The platform's transactional table service. */
public interface TableStore {
    /** The row, or null if there is none. */
    public suspend fun get(
        table: String,
        key: String,
    ): Either<PlatformError, Row?>

    /** Writes the row if its version is [ifVersion] ([ABSENT] for none) and returns the new version. */
    public suspend fun put(
        table: String,
        key: String,
        value: JsonElement,
        ifVersion: Long,
    ): Either<PlatformError, Long>

    /** At most [limit] rows whose key starts with [prefix] and sorts after [after]. */
    public suspend fun scan(
        table: String,
        prefix: String,
        after: String? = null,
        limit: Int = 200,
    ): Either<PlatformError, RowPage>

    /** Applies all writes or none and returns the new row versions. */
    public suspend fun transaction(writes: List<TableWrite>): Either<PlatformError, List<Long>>
}

/** The platform's object store. Objects are written whole. */
public interface ObjectStore {
    /** The object's bytes, or null if there is none. */
    public suspend fun get(key: String): Either<PlatformError, ByteArray?>

    /** Creates or replaces an object. */
    public suspend fun put(
        key: String,
        bytes: ByteArray,
    ): Either<PlatformError, Unit>
}

/** An order for one upstream of one data centre. [count] is absolute. */
@Serializable
public data class ScaleOrder(
    @SerialName("data_centre") val dataCentre: String,
    val upstream: String,
    val epoch: Long,
    val number: Long,
    val count: Int,
    val holder: String,
    val action: String = "scale",
)

/** The platform's interface for ordering upstreams. Orders are absolute, so sending one again is harmless. */
public interface OrderingInterface {
    /** Sends an order. A receiver that checks epochs answers [PlatformError.Conflict] to a stale one. */
    public suspend fun send(order: ScaleOrder): Either<PlatformError, Unit>
}

/** A usage report of one window. */
@Serializable
public data class UsageReport(
    val window: String,
    val epoch: Long,
    val holder: String,
    val figures: JsonObject,
)

/** The platform's interface for usage reports. */
public interface UsageIntake {
    /** Sends a report. The same window must always be sent with the same figures. */
    public suspend fun report(report: UsageReport): Either<PlatformError, Unit>
}

/** Whether an instance takes work. */
@Serializable
public enum class InstanceState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}

/** One instance as the platform lists it. Addresses are `IP:port`. */
@Serializable
public data class ListedInstance(
    val instance: String,
    val role: String,
    @SerialName("data_centre") val dataCentre: String,
    @SerialName("internal_address") val internalAddress: String,
    @SerialName("operator_address") val operatorAddress: String? = null,
    val upstream: String? = null,
    val state: InstanceState = InstanceState.LIVE,
)

/** The platform's list of instances, which lags. */
public interface InstanceList {
    /** All live and leaving instances, as of some seconds ago. */
    public suspend fun instances(): Either<PlatformError, List<ListedInstance>>
}

/** Everything the platform provides. */
public data class Platform(
    val table: TableStore,
    val objects: ObjectStore,
    val orders: OrderingInterface,
    val usage: UsageIntake,
    val instances: InstanceList,
)
