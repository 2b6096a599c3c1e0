/*
 * Command line: runs one scenario in virtual time and prints its figures.
 */
package io.teaselspring.experiment

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.long
import io.teaselspring.experiment.prompts.promptScenarios
import io.teaselspring.experiment.prompts.report
import io.teaselspring.experiment.prompts.statementScenarios
import io.teaselspring.experiment.prompts.unevenScenarios

private val allPromptScenarios = promptScenarios + statementScenarios + unevenScenarios

private class Experiment : CliktCommand("experiment") {
    private val name by argument(help = "a scenario, or list")
    private val seed by option(help = "seed of the workload").long().default(1)
    private val output by option(help = "form of the result").choice("text", "json").default("text")

    override fun run() {
        if (name == "list") {
            scenarios.forEach { echo("%-26s %s".format(it.name, it.description)) }
            allPromptScenarios.forEach {
                echo(
                    "%-26s %s".format(it.name, it.description),
                )
            }
            echo("%-26s %s".format("scale", "time, state and message bytes of the decisions as the system grows"))
            return
        }
        if (name == "scale") {
            val measurements = measureScale(seed)
            echo(if (output == "json") scaleJson(seed, measurements) else scaleText(measurements))
            return
        }
        val prompts = allPromptScenarios.firstOrNull { it.name == name }
        if (prompts != null) {
            echo(prompts.report(seed))
            return
        }
        val scenario = scenarios.firstOrNull { it.name == name } ?: throw UsageError("unknown scenario $name; see list")
        val report = scenario.report(seed)
        echo(if (output == "json") report.toJson() else report.toText())
    }
}

/** Runs all policies of the scenario on the same requests. */
fun Scenario.report(seed: Long): Report {
    val jobs = jobs(seed)
    val figures = policies.map { run(it, jobs, seed).figures(it.name) }
    return Report(name, seed, figures, targets(figures.first(), figures))
}

/** Starts the program. */
fun main(args: Array<String>) = Experiment().main(args)
