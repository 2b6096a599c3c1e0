package io.teaselspring.daemon.control

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.teaselspring.daemon.http.ProcessQuery
import io.teaselspring.ports.ABSENT
import io.teaselspring.ports.InstanceList
import io.teaselspring.ports.ListedInstance
import io.teaselspring.ports.ObjectStore
import io.teaselspring.ports.OrderingInterface
import io.teaselspring.ports.Platform
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.Row
import io.teaselspring.ports.RowPage
import io.teaselspring.ports.ScaleOrder
import io.teaselspring.ports.TableStore
import io.teaselspring.ports.TableWrite
import io.teaselspring.ports.UsageIntake
import io.teaselspring.ports.UsageReport
import kotlinx.serialization.json.JsonElement
import java.util.TreeMap
import java.util.concurrent.CopyOnWriteArrayList

/**
 * The platform in memory. During an [outage] nothing is applied. The next [loseResponses] writes are applied but answer
 * as ambiguous; the next [loseRequests] answer as ambiguous and are not applied. Calls may come from several threads.
 */
class FakePlatform(
    /** How instances state their process; null if they are not asked. */
    val processQuery: ProcessQuery? = null,
) {
    val rows = TreeMap<String, Row>()
    val objects = HashMap<String, ByteArray>()

    // Tests read these while entries still write: each iteration sees the list as it was when it began.
    val orders = CopyOnWriteArrayList<ScaleOrder>()
    val reports = CopyOnWriteArrayList<UsageReport>()
    var listed = emptyList<ListedInstance>()
    var outage = false
    var loseResponses = 0
    var loseRequests = 0

    /** Runs before each write is looked at; tests use it to let another process act first. */
    var beforeWrite: suspend () -> Unit = {}

    /** Called with each write that is applied. */
    var onApplied: (TableWrite) -> Unit = {}

    /** Rises with each [restore]. */
    var generation = 1L
        private set

    /** The rows as they are now. */
    fun copy(): Map<String, Row> = synchronized(rows) { TreeMap(rows) }

    /** Brings back the rows of [copy] and loses all that was written since. */
    fun restore(copy: Map<String, Row>) {
        synchronized(rows) {
            rows.clear()
            rows += copy
            generation += 1
        }
    }

    private val table =
        object : TableStore {
            override suspend fun get(
                table: String,
                key: String,
            ) = reading { rows["$table/$key"]?.copy(key = key) }

            override suspend fun put(
                table: String,
                key: String,
                value: JsonElement,
                ifVersion: Long,
            ) = transaction(listOf(TableWrite(table, key, ifVersion, value))).map { it.single() }

            override suspend fun scan(
                table: String,
                prefix: String,
                after: String?,
                limit: Int,
            ) = reading {
                val all =
                    rows.values
                        .filter { it.key.startsWith("$table/$prefix") && it.key > "$table/${after.orEmpty()}" }
                        .map { it.copy(key = it.key.removePrefix("$table/")) }
                RowPage(all.take(limit), all.size > limit)
            }

            override suspend fun transaction(writes: List<TableWrite>) = writing { apply(writes) }
        }

    private val objectStore =
        object : ObjectStore {
            override suspend fun get(key: String) = reading { objects[key] }

            override suspend fun put(
                key: String,
                bytes: ByteArray,
            ) = writing { Unit.right().also { objects[key] = bytes } }
        }

    val platform =
        Platform(
            table,
            objectStore,
            object : OrderingInterface {
                override suspend fun send(
                    order: ScaleOrder,
                    maySend: () -> Boolean,
                ) = writing { Unit.right().also { orders += order } }
            },
            object : UsageIntake {
                override suspend fun report(
                    report: UsageReport,
                    maySend: () -> Boolean,
                ) = writing { Unit.right().also { reports += report } }
            },
            object : InstanceList {
                override suspend fun instances() = reading { listed }
            },
        )

    private fun apply(writes: List<TableWrite>): Either<PlatformError, List<Long>> {
        writes.forEachIndexed { index, write ->
            val version = rows["${write.table}/${write.key}"]?.version ?: ABSENT
            if (write.ifVersion != null && write.ifVersion != version) {
                return PlatformError.Conflict("write", "fake", write.key, index).left()
            }
        }
        return writes
            .map { write ->
                val path = "${write.table}/${write.key}"
                val version = (rows[path]?.version ?: ABSENT) + 1
                write.value?.let { rows[path] = Row(path, version, it) } ?: rows.remove(path)
                onApplied(write)
                version
            }.right()
    }

    private fun <T> reading(read: () -> T): Either<PlatformError, T> =
        synchronized(rows) {
            if (outage) PlatformError.Unavailable("read", "fake", "outage").left() else read().right()
        }

    private suspend fun <T> writing(write: () -> Either<PlatformError, T>): Either<PlatformError, T> {
        beforeWrite()
        val lost = PlatformError.Ambiguous("write", "fake", "lost").left()
        return synchronized(rows) {
            when {
                outage -> PlatformError.Unavailable("write", "fake", "outage").left()
                loseRequests > 0 -> lost.also { loseRequests -= 1 }
                loseResponses > 0 -> lost.also { loseResponses -= 1 }.also { write() }
                else -> write()
            }
        }
    }
}
