/*
 * Decoding of text that other systems write: a row or a response that cannot be decoded must not end its reader.
 */
package io.teaselspring.ports

/**
 * Returns the result of [decode], or null if the text is malformed, holds a number out of range, or is nested so deeply
 * that the parser, which is recursive, runs out of stack. [onFailure] gets the cause.
 */
public fun <T : Any> decodeOrNull(
    onFailure: (Throwable) -> Unit = {},
    decode: () -> T?,
): T? =
    try {
        decode()
    } catch (e: IllegalArgumentException) {
        // SerializationException is a subclass.
        onFailure(e)
        null
    } catch (e: IllegalStateException) {
        onFailure(e)
        null
    } catch (e: ArithmeticException) {
        onFailure(e)
        null
    } catch (e: StackOverflowError) {
        onFailure(e)
        null
    }
