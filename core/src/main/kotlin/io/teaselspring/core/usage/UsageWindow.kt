/*
 * Usage windows: tumbling windows, which are consecutive spans of wall-clock time of equal length. A window is
 * identified by its start.
 */
package io.teaselspring.core.usage

/** The window that starts at [startMs], in milliseconds since 1970. */
@JvmInline
public value class UsageWindow(
    public val startMs: Long,
) : Comparable<UsageWindow> {
    /** The id in row keys and reports; padded with zeros so that ids sort in the order of the windows. */
    public val id: String get() = startMs.toString().padStart(15, '0')

    override fun compareTo(other: UsageWindow): Int = startMs.compareTo(other.startMs)
}

/** The window that contains [wallMs], for windows of [lengthMs]. */
public fun usageWindowOf(
    wallMs: Long,
    lengthMs: Long,
): UsageWindow = UsageWindow(Math.floorDiv(wallMs, lengthMs) * lengthMs)

/** The window with the id [id], or null if that is not a valid id. */
public fun usageWindowNamed(id: String): UsageWindow? = id.toLongOrNull()?.let(::UsageWindow)?.takeIf { it.id == id }
