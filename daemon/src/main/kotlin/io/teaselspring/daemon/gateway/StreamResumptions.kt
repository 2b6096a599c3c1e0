/*
 * Finds the software version at which a stream that its caller resumes may go on. It is never guessed: an entry that
 * cannot find it refuses the request as not run.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.UpstreamName
import io.teaselspring.core.registry.VersionHistory
import io.teaselspring.daemon.launchOnce
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.gateway")

/** How the version that began a stream was found, or why it was not. */
internal enum class VersionSource {
    /** This entry saw the stream begin. */
    MEMORY,

    /** No other version has served since the stream can have begun. */
    ONLY_VERSION,

    /** The store has a record of the stream. */
    RECORD,

    /** Several versions may have begun the stream, and there is no record. */
    UNKNOWN,

    /** The store did not say in time. */
    UNAVAILABLE,
}

/** The [version] that began a stream, null if [source] did not tell. */
internal data class ResumedVersion(
    val version: String?,
    val source: VersionSource,
)

/**
 * Looks up versions in [streams] and [versions], and in the store if the entries share it ([isShared]). Records of
 * other entries may be written up to [StreamRecords.interval] after the stream began.
 */
internal class StreamResumptions(
    private val scope: CoroutineScope,
    private val streams: StreamRecords,
    private val versions: SoftwareVersions,
    private val isShared: Boolean,
    private val metrics: GatewayMetrics,
) {
    /**
     * Finds the version that began the stream [key] of [upstream] for the request [requestId], and passes it to
     * [onFound]. A caller that does not name its stream has a null [key].
     */
    fun find(
        key: String?,
        upstream: UpstreamName,
        requestId: String,
        onFound: (ResumedVersion) -> Unit,
    ) {
        fun found(result: ResumedVersion) {
            metrics.streamResumed(upstream.value, result.source.name.lowercase())
            log.info(
                "event=stream_resumed request={} upstream={} version={} source={}",
                requestId,
                upstream,
                result.version,
                result.source.name.lowercase(),
            )
            onFound(result)
        }
        val remembered = key?.let(streams::versionOf)
        when {
            remembered != null -> found(ResumedVersion(remembered, VersionSource.MEMORY))
            !isShared -> found(onlyOf(versions.knownTo(upstream)) ?: UNKNOWN)
            else ->
                scope.launchOnce("stream_resumption") {
                    found(withTimeoutOrNull(LOOKUP_LIMIT) { lookUp(key, upstream) } ?: UNAVAILABLE)
                }
        }
    }

    /**
     * A record tells enough, so it is read first where one is to be expected. The versions are read after the request
     * has arrived, and each is recorded before a stream begins there.
     */
    private suspend fun lookUp(
        key: String?,
        upstream: UpstreamName,
    ): ResumedVersion {
        val expectedKey = key?.takeIf { versions.areSeveral(upstream) }
        return expectedKey?.let { recorded(it) }
            ?: versions.read(upstream).fold({ UNAVAILABLE }) { history ->
                history?.let { lookUp(key, upstream, it, isRecordMissing = expectedKey != null) } ?: UNKNOWN
            }
    }

    private suspend fun lookUp(
        key: String?,
        upstream: UpstreamName,
        history: VersionHistory,
        isRecordMissing: Boolean,
    ): ResumedVersion? {
        val onlyEver = onlyOf(history.leftAtMs.keys)
        if (onlyEver != null || key == null) return onlyEver ?: onlyOf(versions.recent(upstream, history))
        return (if (isRecordMissing) null else recorded(key))
            ?: onlyOf(versions.recent(upstream, history))
            ?: run {
                delay(minOf(streams.interval(), MAX_RECORD_WAIT) + WRITE_TIME)
                recorded(key)
            }
    }

    /** What the store says of the stream [key]; null if it has no record. */
    private suspend fun recorded(key: String): ResumedVersion? =
        streams.read(key).fold({ UNAVAILABLE }) { stream ->
            stream?.let { ResumedVersion(it.version, VersionSource.RECORD) }
        }

    private fun onlyOf(candidates: Set<String>) =
        candidates.singleOrNull()?.let { ResumedVersion(it, VersionSource.ONLY_VERSION) }

    private companion object {
        val UNKNOWN = ResumedVersion(null, VersionSource.UNKNOWN)
        val UNAVAILABLE = ResumedVersion(null, VersionSource.UNAVAILABLE)

        /** Callers that wait longer for the first event are about to give up. */
        val LOOKUP_LIMIT: Duration = 900.milliseconds
        val MAX_RECORD_WAIT = 400.milliseconds
        val WRITE_TIME = 100.milliseconds
    }
}
