/*
 * Interfaces of the platform: a transactional table with conditional writes (compare-and-set), an object store, scale
 * orders for upstreams, usage reports, and a list of instances that is eventually consistent.
 */
package io.teaselspring.ports

import arrow.core.Either
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/** Version in a condition that requires the row to be absent. */
public const val ABSENT: Long = 0

/** A row. [version] starts at 1 and increases with each write. */
@Serializable
public data class Row(
    val key: String,
    val version: Long,
    val value: JsonElement,
)

/** A page of rows in key order. [more] is true if rows follow after the last one. */
@Serializable
public data class RowPage(
    val rows: List<Row>,
    val more: Boolean = false,
)

/**
 * One conditional write of a transaction. [ifVersion] is the version that the row must have: [ABSENT] requires that it
 * does not exist, null sets no condition. A null [value] deletes the row.
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
    /** Returns the row, or null if it does not exist. */
    public suspend fun get(
        table: String,
        key: String,
    ): Either<PlatformError, Row?>

    /** Compare-and-set: writes the row if its version is [ifVersion] ([ABSENT]: no row) and returns the new version. */
    public suspend fun put(
        table: String,
        key: String,
        value: JsonElement,
        ifVersion: Long,
    ): Either<PlatformError, Long>

    /** Returns at most [limit] rows in key order whose key starts with [prefix] and sorts after [after]. */
    public suspend fun scan(
        table: String,
        prefix: String,
        after: String? = null,
        limit: Int = 200,
    ): Either<PlatformError, RowPage>

    /** Applies all writes atomically or none, and returns the new row versions. */
    public suspend fun transaction(writes: List<TableWrite>): Either<PlatformError, List<Long>>
}

/** The platform's object store. An object is always written as a whole. */
public interface ObjectStore {
    /** Returns the object's bytes, or null if it does not exist. */
    public suspend fun get(key: String): Either<PlatformError, ByteArray?>

    /** Creates or replaces an object. */
    public suspend fun put(
        key: String,
        bytes: ByteArray,
    ): Either<PlatformError, Unit>
}

/** An order to run [count] instances of one upstream in one data centre; [count] is absolute, not a change. */
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

/** The platform's interface for scale orders. Orders are idempotent because their counts are absolute. */
public interface OrderingInterface {
    /**
     * Sends [order] if [maySend] returns true directly before that. A receiver that checks epochs rejects one of an
     * older epoch with [PlatformError.Conflict].
     */
    public suspend fun send(
        order: ScaleOrder,
        maySend: () -> Boolean = { true },
    ): Either<PlatformError, Unit>
}

/** The usage report of one window; [epoch] is the fencing token of the lease of [holder]. */
@Serializable
public data class UsageReport(
    val window: String,
    val epoch: Long,
    val holder: String,
    val figures: JsonObject,
)

/** The platform's interface for usage reports. */
public interface UsageIntake {
    /**
     * Sends [report] if [maySend] returns true directly before that, else fails with [PlatformError.Unavailable]. A
     * repeated report of a window must have the same figures.
     */
    public suspend fun report(
        report: UsageReport,
        maySend: () -> Boolean = { true },
    ): Either<PlatformError, Unit>
}

/** Whether an instance accepts requests. */
@Serializable
public enum class InstanceState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}

/** One instance in the platform's list. Addresses have the form `IP:port`. */
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

/** The platform's service registry, which is eventually consistent. */
public interface InstanceList {
    /** Returns all live and leaving instances; the list may be some seconds old. */
    public suspend fun instances(): Either<PlatformError, List<ListedInstance>>
}

/** All interfaces of the platform. */
public data class Platform(
    val table: TableStore,
    val objects: ObjectStore,
    val orders: OrderingInterface,
    val usage: UsageIntake,
    val instances: InstanceList,
)
