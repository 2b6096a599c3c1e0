/*
 * Command line entry point.
 */
package io.teaselspring.experiment

/** Starts the program. */
fun main() {
    println("not built yet")
}
