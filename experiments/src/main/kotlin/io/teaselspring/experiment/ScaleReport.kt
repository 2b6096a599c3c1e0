/*
 * Output of the scale experiment.
 */
package io.teaselspring.experiment

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

/** Bounds of the design page: 50 microseconds for a decision, 4 KB/s for a daemon at the design size. */
fun scaleTargets(measurements: List<Measurement>): List<Target> =
    measurements.mapNotNull { measurement ->
        val largest = measurement.values.maxOf { it.second }
        val atDesignSize = measurement.values.last().second
        when (measurement.unit) {
            "us" -> Target("${measurement.name}, microseconds", "< 50", largest, largest < 50)
            "bytes/s" -> Target("${measurement.name}, bytes/s", "<= 4000", atDesignSize, atDesignSize <= 4000)
            else -> null
        }
    }

fun scaleText(measurements: List<Measurement>): String =
    buildString {
        for (measurement in measurements) {
            val values = measurement.values.joinToString("  ") { "%d: %.4g".format(it.first, it.second) }
            val slope = "%.4g %s per %s".format(measurement.slope, measurement.unit, measurement.per)
            appendLine("%-32s %-90s slope %s".format("${measurement.name} [${measurement.unit}]", values, slope))
        }
        for (target in scaleTargets(measurements)) {
            val verdict = if (target.met) "met" else "MISSED"
            appendLine("%-44s %-8s %10.4g  %s".format(target.name, target.bound, target.value, verdict))
        }
    }

fun scaleJson(
    seed: Long,
    measurements: List<Measurement>,
): String {
    val content =
        buildJsonObject {
            put("scenario", "scale")
            put("seed", seed)
            putJsonArray("policies") {}
            putJsonArray("measurements") {
                for (measurement in measurements) {
                    addJsonObject {
                        put("name", measurement.name)
                        put("unit", measurement.unit)
                        put("per", measurement.per)
                        putJsonObject("values") { measurement.values.forEach { put("${it.first}", it.second) } }
                        put("slope", measurement.slope)
                    }
                }
            }
            putTargets(scaleTargets(measurements))
        }
    return prettyJson.encodeToString(JsonObject.serializer(), content)
}
