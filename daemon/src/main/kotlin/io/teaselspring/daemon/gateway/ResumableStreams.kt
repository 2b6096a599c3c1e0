/*
 * What an entry does so that a stream goes on only at the software version that began it, wherever its caller resumes
 * it: versions are recorded before streams begin there, begun streams are remembered and recorded, and resumptions look
 * them up.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.UpstreamName
import io.teaselspring.daemon.OnTaskFailure
import io.teaselspring.daemon.launchRestarting
import kotlinx.coroutines.CoroutineScope

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

    /** Number of streams that this entry remembers. */
    val size: Int get() = records.size

    /** The stream that [request] begins or, if its caller resumes one, goes on with; null without the caller's name. */
    fun keyOf(
        request: IncomingRequest,
        authorised: AuthorisedRequest,
        names: HeaderNames,
    ): String? {
        val begunBy = if (request.isResumption) request.headers[names.resumes] else request.headers[names.requestId]
        return begunBy?.let { streamKey(authorised.organisation, authorised.upstream, it) }
    }

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

    /** Starts the tasks that write to the store. One entry at a time [isResponsible] for what others have left. */
    fun start(
        scope: CoroutineScope,
        onTaskFailure: OnTaskFailure,
        isResponsible: () -> Boolean,
    ) {
        if (!isShared) return
        scope.launchRestarting("software_versions", onTaskFailure) { versions.run() }
        scope.launchRestarting("stream_records", onTaskFailure) { records.run() }
        scope.launchRestarting("stream_record_removal", onTaskFailure) {
            records.removeOrphans({ isResponsible() && versions.haveBeenSeveral() })
        }
    }
}
