/*
 * Command line entry point.
 */
package io.teaselspring.ctl

/** Starts the program. */
fun main() {
    println("not built yet")
}
