/*
 * What an entry does so that a stream goes on only at the software version that began it, wherever its caller resumes
 * it: versions are recorded before streams begin there, begun streams are remembered and recorded, and resumptions look
 * them up.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.UpstreamName
import io.teaselspring.core.routing.RoutingDecision
import io.teaselspring.core.routing.pickUpstreamOf
import io.teaselspring.daemon.OnTaskFailure
import io.teaselspring.daemon.launchOnce
import io.teaselspring.daemon.launchRestarting
import io.teaselspring.ports.describe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.seconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.gateway")

/** The parts of one entry, which share the store's tables if [isShared]. */
internal class ResumableStreams(
    val versions: SoftwareVersions,
    private val records: StreamRecords,
    private val resumptions: StreamResumptions,
    private val isShared: Boolean,
) {
    init {
        versions.onChanged = records::versionsChanged
    }

    /** Whether the streams that other processes have recorded are known, as far as the store says in time. */
    var isLoaded = !isShared
        private set

    /** Number of streams that this entry remembers. */
    val size: Int get() = records.size

    /**
     * The upstream at which the resumable stream of [request] begins or goes on: the one where this entry has seen it
     * begin, if the route still leads there, else the one that every entry picks for the stream. Null if the route is
     * not resumable, or if the caller does not name the stream.
     */
    fun upstreamOf(
        request: IncomingRequest,
        decision: RoutingDecision.Allowed,
        names: HeaderNames,
    ): UpstreamName? {
        val route = decision.route
        val begunBy = if (route.isResumable) begunBy(request, names) else null
        if (begunBy == null) return null
        val remembered =
            route.upstreams.filter { it.weight > 0 }.takeIf { it.size > 1 }?.firstOrNull {
                records.versionOf(streamKey(decision.organisation?.id, it.upstream, begunBy)) != null
            }
        return remembered?.upstream ?: pickUpstreamOf(begunBy, route.upstreams)
    }

    /** The stream that [request] begins or, if its caller resumes one, goes on with; null without the caller's name. */
    fun keyOf(
        request: IncomingRequest,
        authorised: AuthorisedRequest,
        names: HeaderNames,
    ): String? = begunBy(request, names)?.let { streamKey(authorised.organisation, authorised.upstream, it) }

    /** The id of the attempt that began the stream of [request]. */
    private fun begunBy(
        request: IncomingRequest,
        names: HeaderNames,
    ): String? = request.headers[if (request.isResumption) names.resumes else names.requestId]

    /** As [StreamResumptions.find]. */
    fun find(
        key: String?,
        upstream: UpstreamName,
        requestId: String,
        onFound: (ResumedVersion) -> Unit,
    ) = resumptions.find(key, upstream, requestId, onFound)

    /** As [StreamRecords.began]. */
    fun began(
        key: String,
        upstream: UpstreamName,
        version: String,
        remainingMs: Long,
    ) = records.began(key, upstream, version, remainingMs)

    /** As [StreamRecords.interrupted]. */
    fun interrupted(key: String) = records.interrupted(key)

    /** The store has come back from an older copy. */
    fun storeRestored() = records.storeRestored()

    /** Drops what is no longer needed. */
    fun expire() = records.expire()

    /**
     * Reads the records of earlier processes while several versions serve. Callers whose streams ended with those come
     * at once, and a read for each of them is slow while the process is cold.
     */
    private suspend fun load() {
        withTimeoutOrNull(LOAD_LIMIT) {
            versions.awaitRows()
            if (versions.areSeveralAnywhere()) {
                records.load().fold(
                    { log.warn("event=stream_records_not_loaded {}", it.describe()) },
                    { log.info("event=stream_records_loaded streams={}", it) },
                )
            }
        }
        isLoaded = true
    }

    /** Starts the tasks that write to the store. One entry at a time [isResponsible] for what others have left. */
    fun start(
        scope: CoroutineScope,
        onTaskFailure: OnTaskFailure,
        isResponsible: () -> Boolean,
    ) {
        if (!isShared) return
        scope.launchOnce("stream_records_load") { load() }
        scope.launchRestarting("software_versions", onTaskFailure) { versions.run() }
        scope.launchRestarting("stream_records", onTaskFailure) { records.run() }
        scope.launchRestarting("stream_record_removal", onTaskFailure) {
            records.removeOrphans({ isResponsible() && versions.haveBeenSeveral() })
        }
    }

    private companion object {
        /** An entry that waits longer to be ready costs its callers more than resumptions that ask the store. */
        val LOAD_LIMIT = 1.seconds
    }
}
