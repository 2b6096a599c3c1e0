/*
 * The attempts of one request, and the choice of an instance that has not been tried yet.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.placement.PlacementRequest
import io.teaselspring.core.placement.PromptPart
import io.teaselspring.core.placement.chooseInstance
import io.teaselspring.core.registry.Availability
import io.teaselspring.core.routing.RouteKind

/** Header of a request for the rest of a stream after an event. */
internal const val LAST_EVENT_ID = "Last-Event-Id"

/** The attempts of one request. */
internal class RequestAttempts {
    private val instances = LinkedHashSet<InstanceId>()
    private var misdirected = 0

    /** Whether an instance may have run the request. */
    var mayHaveRun = false

    /** Data centres in which an attempt to connect timed out. */
    val unreachable = HashSet<DataCentre>()

    /** The instances that were tried, in order. */
    val tried: Set<InstanceId> get() = instances

    /** The number of attempts that count towards the limit of the route. */
    val counted: Int get() = instances.size - misdirected

    /** Whether so many instances were tried that no other is, also if none of them has received the request. */
    val areExhausted: Boolean get() = instances.size >= MAX_INSTANCES_TRIED

    fun begin(instance: InstanceId) {
        instances += instance
    }

    /** Records that another process has answered in place of the last instance; the attempt does not count. */
    fun recordMisdirected() {
        misdirected += 1
    }

    private companion object {
        const val MAX_INSTANCES_TRIED = 4
    }
}

/**
 * Chooses an instance for an attempt that no queue dispatches, or returns null if all instances were tried in
 * [attempts]. Data centres that these could not reach come last.
 */
internal fun Gateway.chooseInstanceFor(
    authorised: AuthorisedRequest,
    prompt: List<PromptPart>,
    attempts: RequestAttempts,
): UpstreamInstance? {
    val now = nowMs()
    val available = instances.available(authorised.upstream)
    val versions = streams.versions
    val stallMs = if (authorised.route.kind == RouteKind.STREAM) STREAM_STALL_MS else PLAIN_STALL_MS
    val prefixId = prompt.getOrNull(prompt.size - 2)?.id ?: prompt.firstOrNull()?.id
    val chosen =
        chooseInstance(
            available.map {
                val isRecorded = versions.isRecorded(authorised.upstream, it.version)
                it.candidate(now, stallMs, attempts.unreachable, isRecorded)
            },
            PlacementRequest(prefixId, authorised.group, settings.dataCentre, authorised.restriction),
            attempts.tried,
            randomBelow,
            leaving = leaving.contextFor(authorised.upstream, available),
            shares = shares.of(authorised.upstream),
        )
    return chosen?.let { candidate -> available.firstOrNull { it.registered.id == candidate.id } }
}

/**
 * Whether a limit, the return of its data centre to service, or a version that is not recorded yet holds back an
 * instance that may serve [authorised] and has not been [tried].
 */
internal fun Gateway.isHeldBack(
    authorised: AuthorisedRequest,
    tried: Set<InstanceId>,
): Boolean {
    val now = nowMs()
    return instances.available(authorised).any { it.registered.id !in tried && !mayTakeNow(it, authorised, now) } ||
        instances.staying(authorised).any {
            it.registered.id !in tried &&
                it.stated.at(now) == Availability.OPEN &&
                instances.dataCentres.evacuations.isReturning(it.registered.dataCentre, now)
        }
}

private fun Gateway.mayTakeNow(
    instance: UpstreamInstance,
    authorised: AuthorisedRequest,
    nowMs: Long,
): Boolean = instance.limit.hasPermit(nowMs) && mayBeginAt(instance, authorised)

/** Whether the stream of [authorised] may begin at the version of [instance], if it begins one that can be resumed. */
internal fun Gateway.mayBeginAt(
    instance: UpstreamInstance,
    authorised: AuthorisedRequest,
): Boolean =
    !authorised.restriction.onlyRecorded ||
        streams.versions.isRecorded(authorised.upstream, instance.version)

/** Whether [authorised] is restricted to some data centres, and no instance is there. */
internal fun Gateway.isOutOfReach(authorised: AuthorisedRequest): Boolean =
    authorised.restriction.dataCentres != null && instances.staying(authorised).isEmpty()

/**
 * When to come back in seconds, if all instances that may serve [authorised] and stay are in a pause, else null: spread
 * over the time after the first pause ends, and no later than the caller waits, whose request ends at [deadlineMs].
 */
internal fun Gateway.pausedRetryAfter(
    authorised: AuthorisedRequest,
    deadlineMs: Long,
): String? {
    val pauseMs = instances.pauseOf(authorised)?.inWholeMilliseconds ?: return null
    val usableMs = (deadlineMs - nowMs()) / RETRY_AFTER_PART
    return secondsText(minOf(pauseMs + randomBelow(PAUSE_SPREAD_MS), usableMs).coerceAtLeast(1))
}

/** Callers honour a `Retry-After` of at most this part of their remaining time. */
private const val RETRY_AFTER_PART = 3
private const val PAUSE_SPREAD_MS = 300

/** As [STREAM_STALL_MS]; shorter, because non-stream requests take milliseconds. */
private const val PLAIN_STALL_MS = 300L
