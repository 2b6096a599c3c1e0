/*
 * Costs of the decision functions as organisations, engines and daemons grow: time per decision, bytes of state and
 * bytes of messages. The only experiment that reads the wall clock.
 */
package io.teaselspring.experiment

import io.teaselspring.core.ClassName
import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.ModelName
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.RequestId
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.admission.AgentScheduler
import io.teaselspring.core.admission.AttemptId
import io.teaselspring.core.admission.OfferedRequest
import io.teaselspring.core.admission.SchedulerAction
import io.teaselspring.core.admission.SchedulerEvent
import io.teaselspring.core.admission.SchedulerPolicy
import io.teaselspring.core.choice.AgentView
import io.teaselspring.core.choice.ChoiceRequest
import io.teaselspring.core.choice.agentSubset
import io.teaselspring.core.choice.chooseAgent
import io.teaselspring.core.fairness.DemandReport
import io.teaselspring.core.fairness.OrganisationLimit
import io.teaselspring.core.fairness.OrganisationLimits
import io.teaselspring.experiment.prompts.promptDispatchUs
import io.teaselspring.protocol.Message
import io.teaselspring.protocol.encode
import kotlinx.serialization.json.Json
import kotlin.random.Random

private val organisationCounts = listOf(10, 100, 1000, 10_000, 46_000)
private val engineCounts = listOf(13, 50, 150, 300, 600)
private val daemonCounts = listOf(3, 10, 30, 100, 330)

/** Measures everything; takes about half a minute. */
fun measureScale(seed: Long): List<Measurement> =
    listOf(
        Measurement("offer, 4000 queued", "us", "organisation", organisationCounts.map { it to offerUs(it, seed) }),
        Measurement("tokens and end", "us", "organisation", organisationCounts.map { it to runningUs(it, seed) }),
        Measurement("limit check", "us", "organisation", organisationCounts.map { it to limitUs(it, seed) }),
        Measurement("choice in the subset", "us", "engine", engineCounts.map { it to choiceUs(it, true, seed) }),
        Measurement("choice among all", "us", "engine", engineCounts.map { it to choiceUs(it, false, seed) }),
        Measurement("dispatch of a prompt", "us", "engine", engineCounts.map { it to promptDispatchUs(it, seed) }),
        Measurement("limit state", "bytes", "organisation", organisationCounts.map { it to limitBytes(it) }),
        Measurement(
            "scheduler state",
            "bytes",
            "organisation",
            organisationCounts.map { it to schedulerBytes(it, seed) },
        ),
        Measurement(
            "configuration and key index",
            "bytes",
            "organisation",
            organisationCounts.map { it to configurationBytes(it) },
        ),
        Measurement(
            "change of the configuration",
            "us a change",
            "organisation",
            organisationCounts.map { it to configurationChangeUs(it) },
        ),
        Measurement("demand report", "bytes", "organisation", organisationCounts.map { it to reportBytes(it) }),
        Measurement("agents per entry", "agents", "daemon", daemonCounts.map { it to subsetSize(it) }),
        Measurement("idle load reports to an entry", "bytes/s", "daemon", daemonCounts.map { it to loadBytes(it) }),
    )

private fun request(
    number: Int,
    organisations: Int,
    random: Random,
) = OfferedRequest(
    id = AttemptId(RequestId("r$number"), 1),
    organisation = OrganisationId("org-${random.nextInt(organisations)}"),
    organisationWeight = 1,
    keyId = null,
    serviceClass = ClassName("c${number % 14}"),
    tier = 1 + number % 7,
    classWeight = 1 + number % 2,
    firstTokenDeadlineMs = Long.MAX_VALUE / 4,
    betweenTokensTargetMs = 35,
    deadlineMs = Long.MAX_VALUE / 4,
    displace = number % 5 == 0,
    preemptible = true,
)

/** A scheduler with 64 running and [QUEUED] queued requests of 7 tiers with two classes each. */
private class LoadedScheduler(
    private val organisations: Int,
    seed: Long,
) {
    private val random = Random(seed)
    private var number = 0
    val scheduler = AgentScheduler(SchedulerPolicy(maxRunning = 64, maxQueued = 2 * QUEUED))
    val running = ArrayDeque<AttemptId>()
    var nowMs = 0L

    init {
        while (scheduler.load(nowMs).queued < QUEUED) offer()
    }

    fun offer() = step(SchedulerEvent.Offered(request(number++, organisations, random)))

    fun step(event: SchedulerEvent) {
        for (action in scheduler.step(event, nowMs)) {
            when (action) {
                is SchedulerAction.Start -> running.addLast(action.id)
                is SchedulerAction.Stop -> running.remove(action.id)
                else -> Unit
            }
        }
    }
}

/** Microseconds of one call of [action], after a warm-up: the best of several rounds, to leave out other processes. */
internal inline fun microseconds(
    calls: Int,
    action: (Int) -> Unit,
): Double {
    var best = Long.MAX_VALUE
    repeat(ROUNDS) { round ->
        val start = System.nanoTime()
        repeat(calls) { action(round * calls + it) }
        best = minOf(best, System.nanoTime() - start)
    }
    return best / 1000.0 / calls
}

private fun offerUs(
    organisations: Int,
    seed: Long,
): Double {
    val loaded = LoadedScheduler(organisations, seed)
    return microseconds(600) { loaded.offer() }
}

/** One token for a running attempt, and every 20 calls the end of one and the start of another. */
private fun runningUs(
    organisations: Int,
    seed: Long,
): Double {
    val loaded = LoadedScheduler(organisations, seed)
    return microseconds(4000) { call ->
        if (call % 64 == 0) loaded.nowMs += 30
        val id = loaded.running.removeFirst()
        loaded.step(SchedulerEvent.TokensProduced(id, 1))
        if (call % 20 == 0) loaded.step(SchedulerEvent.Ended(id, completed = true)) else loaded.running.addLast(id)
    }
}

private fun limitUs(
    organisations: Int,
    seed: Long,
): Double {
    val limits = filledLimits(organisations)
    val random = Random(seed)
    val ids = List(organisations) { OrganisationId("org-$it") }
    return microseconds(20_000) { call ->
        val id = ids[random.nextInt(organisations)]
        if (limits.admit(id, organisationLimit, 2000L + call / 100) == null) limits.release(id)
    }
}

private val organisationLimit = OrganisationLimit(10.0, 8)

private fun filledLimits(organisations: Int): OrganisationLimits {
    val entries = List(330) { InstanceId("entry-$it") }
    val limits = OrganisationLimits(entries.first())
    limits.setEntries(entries.toSet())
    repeat(organisations) { index ->
        OrganisationId("org-$index").let { if (limits.admit(it, organisationLimit, 1000) == null) limits.release(it) }
    }
    return limits
}

private fun views(engines: Int) =
    List(engines) { index ->
        AgentView(
            instance = InstanceId("i-$index"),
            dataCentre = DataCentre("dc-${index % 6}"),
            upstream = UpstreamName("llm"),
            models = setOf(ModelName("model-${index % 13}")),
            connected = true,
            running = index % 30,
            limit = 40,
            firstTokenAverageMs = 100.0 + index % 50,
            betweenTokensAverageMs = 25.0 + index % 7,
        )
    }

private fun choiceUs(
    engines: Int,
    subset: Boolean,
    seed: Long,
): Double {
    val all = views(engines)
    val localDataCentre = DataCentre("dc-0")
    val known =
        if (subset) agentSubset(all, InstanceId("entry-0"), localDataCentre, 330) else all.map { it.instance }.toSet()
    val agents = all.filter { it.instance in known }
    val random = Random(seed)
    return microseconds(4000) { call ->
        val request = ChoiceRequest(UpstreamName("llm"), ModelName("model-${call % 13}"), 1, call.toLong())
        chooseAgent(agents, request, localDataCentre, emptySet(), 1000, random::nextInt)
    }
}

private fun usedBytes(): Long {
    repeat(3) { System.gc() }
    return Runtime.getRuntime().run { totalMemory() - freeMemory() }
}

internal fun <T> heapBytes(build: () -> T): Double {
    val before = usedBytes()
    val built = build()
    val after = usedBytes()
    check(built != null)
    return maxOf(0L, after - before).toDouble()
}

private fun limitBytes(organisations: Int) = heapBytes { filledLimits(organisations) }

private fun schedulerBytes(
    organisations: Int,
    seed: Long,
) = heapBytes { LoadedScheduler(organisations, seed) }

private fun reportBytes(organisations: Int): Double {
    val report = DemandReport(InstanceId("entry-0"), 1, List(organisations) { OrganisationId("org-$it") to 3 }.toMap())
    return Json.encodeToString(DemandReport.serializer(), report).length.toDouble()
}

/** Agents of the 600 engines that an entry connects to when there are [daemons]. */
private fun subsetSize(daemons: Int) =
    agentSubset(views(600), InstanceId("entry-0"), DataCentre("dc-0"), daemons).size.toDouble()

/** Reports of the agents in the subset when nothing else is sent: one every 3 s, with the length of the frame. */
private fun loadBytes(daemons: Int): Double {
    val load = Message.Load(40, 12, 41, 7, 1234, 123_456, false, 98_765)
    return subsetSize(daemons) * (load.encode().size + Int.SIZE_BYTES) / 3
}

private const val QUEUED = 4000
private const val ROUNDS = 5
