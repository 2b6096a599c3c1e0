/*
 * Resolution of a write whose response was lost: the row is read back by the id that the write carries, and the write
 * is repeated only under the same condition, so that at most one copy of it can apply.
 */
package io.teaselspring.ports

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/**
 * Runs [write], a conditional write, and settles an [PlatformError.Ambiguous] result by [readBack], which returns the
 * write's result if the stored row carries the write's own id, else null. A conflict after an ambiguous attempt is
 * read back too, because the first attempt may be the cause of it. Stays ambiguous when the store cannot be read within
 * [attempts] attempts.
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
        val found = readBack()
        found.getOrNull()?.let { return it.right() }
        // The row was read and holds another's write, so none of the attempts has applied.
        if (error is PlatformError.Conflict && found.isRight()) return result
    }
    return checkNotNull(firstAmbiguous).left()
}
