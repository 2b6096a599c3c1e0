/*
 * Errors of calls to the platform. The caller needs to know one thing above all: whether a write can have been
 * applied.
 */
package io.teaselspring.ports

/** Why a call to the platform failed: in which [step], against which [peer], with what [detail]. */
public sealed interface PlatformError {
    public val step: String
    public val peer: String
    public val detail: String

    /** A condition of the write did not hold; nothing was applied. [failedIndex] is the write of a transaction. */
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

    /** The write may have been applied; read it back before anything else. */
    public data class Ambiguous(
        override val step: String,
        override val peer: String,
        override val detail: String,
    ) : PlatformError
}

/** The error as one line of key=value pairs for logs. */
public fun PlatformError.describe(): String =
    "error=${this::class.simpleName?.lowercase()} step=$step peer=$peer detail=\"$detail\""
