/*
 * Runs TLC on a specification under src/main/tla. TLC keeps static state, so that every check has a JVM of its own;
 * its exit code is 0 when all invariants hold and 12 when one fails.
 */
package io.teaselspring.model

import tlc2.TLC
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.deleteRecursively
import kotlin.io.path.readText
import kotlin.io.path.writeText

/** Exit code of TLC when an invariant fails. */
const val INVARIANT_FAILED: Int = 12

private const val LIMIT_SECONDS = 180L
private val specifications = Path.of("src", "main", "tla").toAbsolutePath()

/** The result of one check: TLC's exit code, the invariant that failed if one did, and the number of states. */
data class CheckResult(
    val exitCode: Int,
    val violated: String?,
    val distinctStates: Long?,
    val output: String,
)

/**
 * Checks [specification] with the constants of its configuration file, [changes] applied to them, and prints the state
 * count under [name]. Throws when a changed constant is not in the file.
 */
@OptIn(ExperimentalPathApi::class)
fun checkModel(
    name: String,
    specification: String,
    changes: Map<String, String>,
    invariants: List<String>?,
): CheckResult {
    val directory = Files.createTempDirectory("tlc")
    try {
        val configuration = directory.resolve("model.cfg")
        val base = specifications.resolve("$specification.cfg").readText()
        configuration.writeText(changed(base, changes, invariants))
        val started = System.nanoTime()
        val result = runTlc(specification, configuration, directory)
        val elapsedMs = (System.nanoTime() - started) / 1_000_000
        println(
            "event=model_checked model=$specification variant=\"$name\" exit=${result.exitCode} " +
                "violated=${result.violated} distinct_states=${result.distinctStates} elapsed_ms=$elapsedMs",
        )
        return result
    } finally {
        directory.deleteRecursively()
    }
}

private fun changed(
    base: String,
    changes: Map<String, String>,
    invariants: List<String>?,
): String {
    val constants =
        changes.entries.fold(base) { text, (name, value) ->
            val line = Regex("(?m)^  $name = .*$")
            require(line.containsMatchIn(text)) { "no constant $name in the configuration" }
            line.replace(text, "  $name = $value")
        }
    return if (invariants == null) {
        constants
    } else {
        constants.replace(Regex("(?m)^INVARIANTS .*$"), "INVARIANTS ${invariants.joinToString(" ")}")
    }
}

private fun runTlc(
    specification: String,
    configuration: Path,
    directory: Path,
): CheckResult {
    val jar =
        Path.of(
            TLC::class.java.protectionDomain.codeSource.location
                .toURI(),
        )
    val output = directory.resolve("output").toFile()
    val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
    val process =
        ProcessBuilder(
            listOf(
                java,
                "-XX:+UseParallelGC",
                "-XX:ParallelGCThreads=3",
                "-XX:TieredStopAtLevel=1",
                "-Xmx1g",
                // TLC unpacks its standard modules there, and deletes them at its end.
                "-Djava.io.tmpdir=$directory",
                "-cp",
                jar.toString(),
                "tlc2.TLC",
            ) +
                listOf("-workers", "3", "-metadir", directory.resolve("states").toString()) +
                listOf("-config", configuration.toString(), "$specification.tla"),
        ).directory(specifications.toFile()).redirectErrorStream(true).redirectOutput(output).start()
    try {
        check(process.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS)) { "TLC did not end within $LIMIT_SECONDS s" }
    } finally {
        process.destroyForcibly()
    }
    val text = output.readText()
    return CheckResult(
        exitCode = process.exitValue(),
        violated = Regex("Invariant (\\w+) is violated").find(text)?.groupValues?.get(1),
        distinctStates =
            Regex("(\\d+) distinct states found")
                .findAll(text)
                .lastOrNull()
                ?.groupValues
                ?.get(1)
                ?.toLong(),
        output = text,
    )
}
