/*
 * Errors of calls to the platform, distinguished by whether a write can have been applied: a failed condition, a call
 * that was not applied, and an ambiguous write.
 */
package io.teaselspring.ports

/** A failed call to the platform: [step] is the operation, [peer] the address called, [detail] the cause. */
public sealed interface PlatformError {
    public val step: String
    public val peer: String
    public val detail: String

    /** A condition of the write failed; nothing was applied. [failedIndex] is the failed write of a transaction. */
    public data class Conflict(
        override val step: String,
        override val peer: String,
        override val detail: String,
        val failedIndex: Int? = null,
    ) : PlatformError

    /** The call was certainly not applied, or was a read. */
    public data class Unavailable(
        override val step: String,
        override val peer: String,
        override val detail: String,
    ) : PlatformError

    /** The write may have been applied; the caller must read the row back before any further write. */
    public data class Ambiguous(
        override val step: String,
        override val peer: String,
        override val detail: String,
    ) : PlatformError
}

/** Formats the error as key=value pairs for a log line. */
public fun PlatformError.describe(): String =
    "error=${this::class.simpleName?.lowercase()} step=$step peer=$peer detail=\"$detail\""
