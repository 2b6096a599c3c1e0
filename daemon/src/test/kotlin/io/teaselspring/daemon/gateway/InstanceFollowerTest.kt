/*
 * Guards against requests to an instance that has left while the connections to the registry were silent or whose last
 * rows the registry performs late, and against the loss of live instances whose rows lapsed. In virtual time; the
 * bounds are those of the platform's pages.
 */
package io.teaselspring.daemon.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotContain
import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.lease.ClockReading
import io.teaselspring.core.registry.InstanceRegistry
import io.teaselspring.core.registry.RegisteredInstance
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.TableChanges
import io.teaselspring.ports.TableContent
import io.teaselspring.ports.WatchedTable
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val HEARTBEAT = 1_200.milliseconds

/** After this time without trouble the pages' bounds hold for an entry. */
private val CONTACT = 3.seconds

private val times = GatewayTimes(5.seconds, 8.seconds, instanceRowLifetime = HEARTBEAT * 1.9)

private fun instance(name: String) =
    RegisteredInstance(
        InstanceId(name),
        UpstreamName("u"),
        "127.0.0.1:9",
        DataCentre("d"),
        slots = 6,
        isDraining = false,
        startedAtMs = 1,
    )

/** The registry's table as a client with a time limit for each call sees it. */
private class RegistryTable(
    private val scope: TestScope,
) : WatchedTable<RegisteredInstance> {
    private val rows = mutableMapOf<String, Pair<RegisteredInstance?, Long>>()
    private var version = 0L

    /** Whether open connections are silent. A call on a new one succeeds. */
    var isSilent = false
    var isDown = false

    fun set(
        id: String,
        row: RegisteredInstance?,
    ) {
        version += 1
        rows[id] = row to version
    }

    override suspend fun read(): Either<PlatformError, TableContent<RegisteredInstance>> {
        if (isDown) return unanswered(1_500.milliseconds)
        isSilent = false
        delay(10.milliseconds)
        val present = rows.filterValues { it.first != null }.mapValues { it.value.first }
        return TableContent(present, version, scope.currentTime).right()
    }

    override suspend fun changes(
        after: Long,
        wait: Duration,
    ): Either<PlatformError, TableChanges<RegisteredInstance>> {
        val endMs = scope.currentTime + wait.inWholeMilliseconds
        while (!isSilent && !isDown) {
            val changed = rows.filterValues { it.second > after }.mapValues { it.value.first }
            if (changed.isNotEmpty() || scope.currentTime >= endMs) {
                return TableChanges.Changed(changed, version, scope.currentTime).right()
            }
            delay(5.milliseconds)
        }
        return unanswered((endMs - scope.currentTime).milliseconds + 600.milliseconds)
    }

    private suspend fun unanswered(limit: Duration): Either<PlatformError, Nothing> {
        delay(limit)
        return PlatformError.Unavailable("rows", "store", "no answer").left()
    }
}

/** A registry of three instances, followed for 10 s. */
private class FollowedRegistry(
    private val scope: TestScope,
) {
    val table = RegistryTable(scope)
    private val registry = InstanceRegistry()

    /** Ids of the instances that may get requests. */
    val available: List<String> get() {
        registry.expire(scope.currentTime)
        return registry.instances.filter { !it.isDraining }.map { it.id.value }
    }

    init {
        listOf("a", "b", "c").forEach { table.set(it, instance(it)) }
        val listener = RegistryListener(registry, { scope.currentTime }) { }
        val clock = { ClockReading(scope.currentTime, scope.currentTime) }
        scope.backgroundScope.launch { instanceFollower(table, times, clock, listener).run() }
    }
}

class InstanceFollowerTest :
    FunSpec({
        listOf("quiet" to Duration.INFINITE, "busy" to 130.milliseconds).forEach { (name, changeInterval) ->
            test("an instance that leaves as connections go silent gets nothing once the bounds hold: $name table") {
                for (offsetMs in 0L..3_000 step 50) {
                    runTest {
                        val followed = FollowedRegistry(this)
                        backgroundScope.launch {
                            while (true) {
                                delay(changeInterval)
                                followed.table.set("b", instance("b").copy(slots = 6 + (currentTime % 7).toInt()))
                            }
                        }
                        delay(10.seconds + offsetMs.milliseconds)
                        followed.table.set("a", null)
                        delay(20.milliseconds)
                        followed.table.isSilent = true
                        delay(CONTACT)
                        withClue("silent $offsetMs ms after 10 s") {
                            followed.available shouldNotContain "a"
                            followed.available shouldContain "c"
                        }
                    }
                }
            }
        }

        test("an instance whose row lapsed while the registry was down keeps getting requests") {
            for (outage in listOf(2.6.seconds, 4.5.seconds, 8.seconds)) {
                runTest {
                    val followed = FollowedRegistry(this)
                    delay(10.seconds)
                    followed.table.isDown = true
                    delay(outage)
                    followed.table.set("a", null)
                    followed.table.isDown = false
                    repeat(60) {
                        withClue("outage of $outage, $it") { followed.available shouldContain "a" }
                        delay(50.milliseconds)
                        // The registry hears from a live instance within a heartbeat of its return.
                        if (it == 24) followed.table.set("a", instance("a"))
                    }
                }
            }
        }

        test("an instance that left gets nothing more when the registry performs its last row after the deletion") {
            for (lateAfterMs in 100L..5_100 step 250) {
                runTest {
                    val followed = FollowedRegistry(this)
                    // A live instance reports until it leaves; its last report gets no answer.
                    for (sequence in 1L..8) {
                        followed.table.set("a", instance("a").copy(sequence = sequence))
                        delay(HEARTBEAT)
                    }
                    delay(HEARTBEAT / 2)
                    followed.table.set("a", null)
                    delay(1_500.milliseconds)
                    followed.available shouldNotContain "a"
                    delay(lateAfterMs.milliseconds)
                    followed.table.set("a", instance("a").copy(sequence = 9))
                    repeat(72) {
                        delay(50.milliseconds)
                        withClue("late by $lateAfterMs ms") { followed.available shouldNotContain "a" }
                    }
                    followed.table.set("a", instance("a").copy(startedAtMs = 2, sequence = 1))
                    delay(1_500.milliseconds)
                    followed.available shouldContain "a"
                }
            }
        }

        test("an instance that was cut off from the registry and is back gets requests soon") {
            for (cutOff in listOf(2.4.seconds, 4.5.seconds, 12.seconds)) {
                runTest {
                    val followed = FollowedRegistry(this)
                    followed.table.set("a", instance("a").copy(sequence = 8))
                    delay(cutOff)
                    followed.table.set("a", null)
                    delay(1_500.milliseconds)
                    followed.available shouldNotContain "a"
                    backgroundScope.launch {
                        for (sequence in 12L..20) {
                            followed.table.set("a", instance("a").copy(sequence = sequence))
                            delay(HEARTBEAT)
                        }
                    }
                    delay(HEARTBEAT + 1_500.milliseconds)
                    withClue("cut off for $cutOff") { followed.available shouldContain "a" }
                }
            }
        }

        test("an instance that is back after an outage and its grace period gets requests with its first row") {
            for (outage in listOf(2.6.seconds, 8.seconds)) {
                runTest {
                    val followed = FollowedRegistry(this)
                    followed.table.set("a", instance("a").copy(sequence = 8))
                    delay(1.seconds)
                    followed.table.isDown = true
                    delay(outage)
                    followed.table.set("a", null)
                    followed.table.isDown = false
                    // A call under way (1.5 s), the delay of the retry (at most 1.2 s) and the grace period (2 s).
                    delay(5.seconds)
                    followed.available shouldNotContain "a"
                    followed.table.set("a", instance("a").copy(sequence = 14))
                    delay(1_500.milliseconds)
                    withClue("outage of $outage") { followed.available shouldContain "a" }
                }
            }
        }

        test("an instance that drains gets nothing more when the registry performs an earlier row of it late") {
            for (lateAfterMs in 0L..5_600 step 700) {
                runTest {
                    val followed = FollowedRegistry(this)
                    delay(10.seconds)
                    val draining = instance("a").copy(isDraining = true)
                    followed.table.set("a", draining)
                    delay(1_500.milliseconds)
                    followed.available shouldNotContain "a"
                    delay(lateAfterMs.milliseconds)
                    followed.table.set("a", instance("a"))
                    repeat(30) {
                        delay(50.milliseconds)
                        withClue("late by $lateAfterMs ms") { followed.available shouldNotContain "a" }
                    }
                    followed.table.set("a", instance("a").copy(startedAtMs = 2))
                    delay(1_500.milliseconds)
                    followed.available shouldContain "a"
                }
            }
        }
    })
