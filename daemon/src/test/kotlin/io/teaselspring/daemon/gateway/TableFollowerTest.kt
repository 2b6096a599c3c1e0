/*
 * Guards the watch on store tables against a lost history, an outage, a hanging connection, and reordered responses.
 */
package io.teaselspring.daemon.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.teaselspring.core.lease.ClockReading
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.TableChanges
import io.teaselspring.ports.TableContent
import io.teaselspring.ports.WatchedTable
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Responds to polls for changes from [script], then hangs; a snapshot read returns [content]. */
private class ScriptedTable(
    private val script: MutableList<Either<PlatformError, TableChanges<String>>>,
    var content: Either<PlatformError, TableContent<String>>,
) : WatchedTable<String> {
    val calls = mutableListOf<String>()

    override suspend fun read(): Either<PlatformError, TableContent<String>> {
        calls += "read"
        return content
    }

    override suspend fun changes(
        after: Long,
        wait: Duration,
    ): Either<PlatformError, TableChanges<String>> {
        calls += "changes after $after"
        return if (script.isEmpty()) awaitCancellation() else script.removeFirst()
    }
}

/** A table whose first poll, after version 10, shows that row `e` was put at 11, 500 ms after it was asked. */
private class OvertakenTable : WatchedTable<String> {
    var content: Either<PlatformError, TableContent<String>> = whole(10, "a" to "1")
    val askedAfter = mutableListOf<Long>()

    override suspend fun read() = content

    override suspend fun changes(
        after: Long,
        wait: Duration,
    ): Either<PlatformError, TableChanges<String>> {
        askedAfter += after
        if (askedAfter.size > 1) awaitCancellation()
        delay(500)
        return changed(11, "e" to "1")
    }
}

private class RecordingListener : TableListener<String> {
    val lines = mutableListOf<String>()

    override fun onSnapshot(
        rows: Map<String, String?>,
        askedAt: ClockReading,
        gap: TableGap,
    ) {
        lines += "all $rows" + if (gap == TableGap.OUTAGE) " after an outage" else ""
    }

    override fun onChanges(
        changes: Map<String, String?>,
        askedAt: ClockReading,
    ) {
        lines += "changed $changes"
    }
}

private val unavailable = PlatformError.Unavailable("rows-feed", "store", "unavailable").left()

private fun changed(
    version: Long,
    vararg rows: Pair<String, String?>,
) = TableChanges.Changed(mapOf(*rows), version).right()

class TableFollowerTest :
    FunSpec({
        suspend fun TestScope.follow(
            table: ScriptedTable,
            interval: Duration = Duration.ZERO,
        ): RecordingListener {
            val listener = RecordingListener()
            val times = FollowTimes(wait = 2_000.milliseconds, interval)
            val follower = TableFollower("t", table, times, { ClockReading(currentTime, currentTime) }, listener)
            val running = backgroundScope.launch { follower.run() }
            testScheduler.advanceTimeBy(10_000)
            running.cancel()
            return listener
        }

        test("a snapshot is followed by changes, each polled from the version of the last response") {
            runTest {
                val table =
                    ScriptedTable(
                        mutableListOf(changed(7, "a" to "2"), changed(9, "b" to null)),
                        whole(
                            5,
                            "a" to "1",
                        ),
                    )
                follow(table).lines shouldContainExactly listOf("all {a=1}", "changed {a=2}", "changed {b=null}")
                table.calls shouldContainExactly listOf("read", "changes after 5", "changes after 7", "changes after 9")
            }
        }

        // A row that was put and deleted again would come back for good, as the next poll asks for later changes only.
        test("changes that a snapshot has overtaken are not applied after it") {
            runTest {
                val table = OvertakenTable()
                val listener = RecordingListener()
                val times = FollowTimes(wait = 2_000.milliseconds, Duration.ZERO)
                val follower = TableFollower("t", table, times, { ClockReading(currentTime, currentTime) }, listener)
                backgroundScope.launch { follower.run() }
                testScheduler.advanceTimeBy(100)
                table.content = whole(12)
                follower.readNow(backgroundScope)
                testScheduler.advanceTimeBy(1_000)
                listener.lines shouldContainExactly listOf("all {a=1}", "all {}")
                table.askedAfter shouldContainExactly listOf(10L, 12L)
            }
        }

        test("a lost history leads to a snapshot read that does not count as an outage") {
            runTest {
                val table = ScriptedTable(mutableListOf(TableChanges.HistoryLost.right()), whole(5, "a" to "1"))
                follow(table).lines shouldContainExactly listOf("all {a=1}", "all {a=1}")
            }
        }

        test("after an error a snapshot is read, marked as after an outage") {
            runTest {
                val table = ScriptedTable(mutableListOf(unavailable, changed(6)), whole(5, "a" to "1"))
                follow(table).lines shouldContainExactly listOf("all {a=1}", "all {a=1} after an outage", "changed {}")
            }
        }

        test("calls to an unavailable table back off, also while requests wait for it") {
            runTest {
                val table = ScriptedTable(MutableList(200) { unavailable }, unavailable)
                val listener = RecordingListener()
                val times = FollowTimes(wait = 2_000.milliseconds, Duration.ZERO)
                val follower = TableFollower("t", table, times, { ClockReading(currentTime, currentTime) }, listener)
                val running = backgroundScope.launch { follower.run() }
                repeat(100) {
                    testScheduler.advanceTimeBy(100)
                    follower.readNow(backgroundScope)
                }
                running.cancel()
                // At most one call in 600 ms from the third on.
                table.calls.size shouldBeLessThan 20
            }
        }

        test("a table that changes continuously is polled at most once per interval") {
            runTest {
                val many = (6L..40L).mapTo(mutableListOf<Either<PlatformError, TableChanges<String>>>()) { changed(it) }
                val table = ScriptedTable(many, whole(5))
                follow(table, interval = 1_000.milliseconds)
                table.calls.size shouldBe 10
            }
        }

        // Guards against one row that a listener cannot bear: an exception would end this process, and the next one.
        test("the follower goes on after a listener has thrown") {
            runTest {
                val table =
                    ScriptedTable(
                        mutableListOf(changed(7, "a" to "bad"), changed(9, "b" to "2")),
                        whole(5, "a" to "bad"),
                    )
                val seen = mutableListOf<String>()
                val listener =
                    object : TableListener<String> {
                        override fun onSnapshot(
                            rows: Map<String, String?>,
                            askedAt: ClockReading,
                            gap: TableGap,
                        ) = throw StackOverflowError()

                        override fun onChanges(
                            changes: Map<String, String?>,
                            askedAt: ClockReading,
                        ) {
                            require("bad" !in changes.values)
                            seen += changes.keys
                        }
                    }
                val times = FollowTimes(wait = 2_000.milliseconds, Duration.ZERO)
                val clock = { ClockReading(currentTime, currentTime) }
                val running = backgroundScope.launch { TableFollower("t", table, times, clock, listener).run() }
                testScheduler.advanceTimeBy(10_000)
                running.cancel()
                seen shouldContainExactly listOf("b")
            }
        }
    })

private fun whole(
    version: Long,
    vararg rows: Pair<String, String?>,
) = TableContent(mapOf(*rows), version).right()
