/*
 * Usage windows: consecutive stretches of wall-clock time of equal length. A window is named by its start.
 */
package io.teaselspring.core.usage

/** The window that starts at [startMs], in milliseconds since 1970. */
@JvmInline
public value class UsageWindow(
    public val startMs: Long,
) : Comparable<UsageWindow> {
    /** The name in row keys and reports; names sort like windows. */
    public val id: String get() = startMs.toString().padStart(15, '0')

    override fun compareTo(other: UsageWindow): Int = startMs.compareTo(other.startMs)
}

/** The window of the moment [wallMs] for windows of [lengthMs]. */
public fun usageWindowOf(
    wallMs: Long,
    lengthMs: Long,
): UsageWindow = UsageWindow(Math.floorDiv(wallMs, lengthMs) * lengthMs)

/** The window named [id], or null if it is not a name of a window. */
public fun usageWindowNamed(id: String): UsageWindow? = id.toLongOrNull()?.let(::UsageWindow)?.takeIf { it.id == id }
