/*
 * A quantity measured at several sizes of the system.
 */
package io.teaselspring.experiment

/** One measured quantity at several sizes, with the slope of the least squares line through them. */
class Measurement(
    val name: String,
    val unit: String,
    val per: String,
    val values: List<Pair<Int, Double>>,
) {
    val slope: Double
        get() {
            val meanX = values.map { it.first }.average()
            val meanY = values.map { it.second }.average()
            val spread = values.sumOf { (it.first - meanX) * (it.first - meanX) }
            return values.sumOf { (it.first - meanX) * (it.second - meanY) } / spread
        }
}
