/*
 * The software versions of an upstream that serve or have served. A stream goes on only at the version that began it,
 * so while streams of a version can still be resumed it counts, also after its last instance has left.
 */
package io.teaselspring.core.registry

/** [leftAtMs] has for each version the store's time when it stopped serving, or null while it serves. */
public data class VersionHistory(
    val leftAtMs: Map<String, Long?> = emptyMap(),
) {
    /** The versions that serve. */
    public val serving: Set<String> get() = leftAtMs.filterValues { it == null }.keys

    /** Whether [version] serves. */
    public fun serves(version: String): Boolean = version in leftAtMs && leftAtMs[version] == null

    /** The versions that served at some time in the [windowMs] before [nowMs]. */
    public fun servedWithin(
        windowMs: Long,
        nowMs: Long,
    ): Set<String> = leftAtMs.filterValues { it == null || nowMs - it < windowMs }.keys

    /** This history once exactly [serving] are seen to serve at [nowMs], without versions that left long ago. */
    public fun observe(
        serving: Set<String>,
        nowMs: Long,
    ): VersionHistory {
        val left = (leftAtMs - serving).mapValues { it.value ?: nowMs }.filterValues { nowMs - it < KEPT_MS }
        return VersionHistory(left + serving.associateWith { null })
    }

    /** This history if some other version, which nobody remembers, may have served until [nowMs]. */
    public fun withUnknown(nowMs: Long): VersionHistory = VersionHistory(leftAtMs + (UNKNOWN_VERSION to nowMs))

    /** This history with what [newer] says of the versions there. */
    public fun updatedBy(newer: VersionHistory): VersionHistory = VersionHistory(leftAtMs + newer.leftAtMs)

    private companion object {
        /** Longer than any stream can be resumed. */
        const val KEPT_MS = 600_000L

        /** The line break keeps it apart from the versions that instances state. */
        const val UNKNOWN_VERSION = "unknown\n"
    }
}
