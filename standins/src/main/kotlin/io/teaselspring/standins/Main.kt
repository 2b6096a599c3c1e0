/*
 * Command line entry point.
 */
package io.teaselspring.standins

/** Starts the program. */
fun main() {
    println("not built yet")
}
