/*
 * Guards against a configuration that stays in force for keys after the store holds another one, over random orders of
 * versions, unreadable and deleted rows, reads beside the watch, slow and lost answers, and lost history. In virtual
 * time; more seeds with -Dsoak.seeds=N.
 */
package io.teaselspring.daemon.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.teaselspring.core.lease.ClockReading
import io.teaselspring.core.routing.OperatorRow
import io.teaselspring.core.routing.RoutingConfig
import io.teaselspring.core.routing.UnreadableConfig
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.TableChanges
import io.teaselspring.ports.TableContent
import io.teaselspring.ports.WatchedTable
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val KEY = "config"

/** Bound of the users' pages, and the age up to which an entry accepts keys. */
private const val REVOKE_MS = 5_000L
private const val KEY_FRESHNESS_MS = 3_500L
private const val SEEDS = 40
private const val RUN_MS = 60_000L

/** What the operators' table held from [fromMs] on: a configuration of [version], or none that can be read if null. */
private class Held(
    val fromMs: Long,
    val version: Long?,
)

/** The operators' table as a client reaches it whose answers are at times late, lost or without history. */
@OptIn(ExperimentalCoroutinesApi::class)
private class UnsteadyTable(
    private val scope: TestScope,
    private val random: Random,
) : WatchedTable<OperatorRow> {
    private val changes = ArrayList<Triple<Long, String, OperatorRow?>>()
    val held = ArrayList<Held>()
    private var version = 0L

    fun set(
        key: String,
        row: OperatorRow?,
    ) {
        version += 1
        changes += Triple(version, key, row)
        if (key == KEY) held += Held(scope.currentTime, (row as? RoutingConfig)?.version)
    }

    override suspend fun read(): Either<PlatformError, TableContent<OperatorRow>> {
        delay(transit())
        val rows = changes.associate { (_, key, row) -> key to row }.filterValues { it != null }
        val content = TableContent(rows, version, scope.currentTime)
        delay(transit())
        return answerOrLoss { content }
    }

    override suspend fun changes(
        after: Long,
        wait: Duration,
    ): Either<PlatformError, TableChanges<OperatorRow>> {
        delay(transit())
        if (random.nextInt(12) == 0) return TableChanges.HistoryLost.right()
        val endMs = scope.currentTime + wait.inWholeMilliseconds
        while (version <= after && scope.currentTime < endMs) delay(5.milliseconds)
        val changed = changes.filter { it.first > after }.associate { (_, key, row) -> key to row }
        val answer = TableChanges.Changed(changed, version, scope.currentTime)
        delay(transit())
        return answerOrLoss { answer }
    }

    private fun transit() = (if (random.nextInt(10) == 0) random.nextLong(200, 1_400) else 2).milliseconds

    private suspend fun <T> answerOrLoss(answer: () -> T): Either<PlatformError, T> {
        if (random.nextInt(10) > 0) return answer().right()
        delay(600.milliseconds)
        return PlatformError.Unavailable("rows", "store", "no answer").left()
    }
}

private fun nextRow(
    version: Long,
    random: Random,
): Pair<String, OperatorRow?> =
    when (random.nextInt(6)) {
        0 -> KEY to UnreadableConfig
        1 -> KEY to null
        2 -> "unrelated" to null
        else -> KEY to RoutingConfig(version, emptyList(), emptyList())
    }

@OptIn(ExperimentalCoroutinesApi::class)
class ConfigOrderTest :
    FunSpec({
        val seeds = System.getProperty("soak.seeds")?.toInt() ?: SEEDS

        test("no configuration is fresh enough for keys revoke_ms after the store has held another one: $seeds seeds") {
            val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
            var accepted = 0
            for (seed in 1..seeds) {
                runTest {
                    val random = Random(seed)
                    val table = UnsteadyTable(this, random)
                    val clock = { ClockReading(currentTime, currentTime) }
                    val config = ConfigState(group.next() as EventLoop, clock)
                    val follower =
                        TableFollower(
                            "config",
                            table,
                            FollowTimes(wait = 2.seconds, interval = Duration.ZERO),
                            clock,
                            OperatorRows(config, DataCentres(), { currentTime }) {},
                            random = random,
                        )
                    // The first version may be written before or after the first read.
                    val follow = backgroundScope.launch { follower.run() }
                    backgroundScope.launch {
                        var version = 0L
                        while (true) {
                            delay(random.nextLong(1, 9_000).milliseconds)
                            version += random.nextLong(1, 4)
                            nextRow(version, random).let { (key, row) -> table.set(key, row) }
                        }
                    }
                    // Without reads of the whole table an unreadable row is seen among the changes only.
                    backgroundScope.launch {
                        while (seed % 2 == 0) {
                            delay(random.nextLong(50, 2_000).milliseconds)
                            follower.readNow(backgroundScope)
                        }
                    }
                    while (currentTime < RUN_MS) {
                        delay(50.milliseconds)
                        val ageMs = config.ageMs()
                        val version = config.current?.version
                        if (version == null || ageMs == null || ageMs >= KEY_FRESHNESS_MS) continue
                        accepted += 1
                        withClue("seed $seed at $currentTime ms: version $version, $ageMs ms old") {
                            val from = table.held.indexOfLast { it.version == version }
                            val untilMs = table.held.getOrNull(from + 1)?.fromMs ?: Long.MAX_VALUE
                            (from >= 0 && currentTime - untilMs <= REVOKE_MS) shouldBe true
                        }
                    }
                    follow.cancel()
                }
            }
            group.shutdownGracefully()
            accepted shouldBeGreaterThan seeds * 100
        }
    })
