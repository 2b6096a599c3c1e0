/*
 * Resolution of an ambiguous write, that is, a conditional write (compare-and-set) whose response was lost. The row is
 * read back and compared by the id that the write carries. A retry has the same condition, so that at most one attempt
 * is applied.
 */
package io.teaselspring.ports

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/**
 * Runs the conditional write [write] and resolves a [PlatformError.Ambiguous] result with [readBack], which returns the
 * write's result if the stored row carries the write's id, else null. A conflict after an ambiguous attempt is read
 * back too, because the earlier attempt may have caused it. Returns the first ambiguous error if it is not resolved
 * within [attempts] attempts.
 */
public suspend fun <T : Any> resolvingAmbiguousWrite(
    attempts: Int = 3,
    readBack: suspend () -> Either<PlatformError, T?>,
    write: suspend () -> Either<PlatformError, T>,
): Either<PlatformError, T> {
    var firstAmbiguous: PlatformError.Ambiguous? = null
    repeat(attempts) {
        val result = write()
        val error = result.leftOrNull()
        if (error is PlatformError.Ambiguous && firstAmbiguous == null) firstAmbiguous = error
        if (error == null || firstAmbiguous == null) return result
        val storedResult = readBack()
        storedResult.getOrNull()?.let { return it.right() }
        // The row was read and contains another writer's value, so no attempt was applied.
        if (error is PlatformError.Conflict && storedResult.isRight()) return result
    }
    return checkNotNull(firstAmbiguous).left()
}
