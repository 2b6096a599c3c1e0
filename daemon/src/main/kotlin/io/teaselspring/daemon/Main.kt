/*
 * Command line entry point.
 */
package io.teaselspring.daemon

/** Starts the program. */
fun main() {
    println("not built yet")
}
