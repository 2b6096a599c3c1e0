/*
 * Checks of what the platform received: orders and usage reports, in the order of their arrival.
 */
package io.teaselspring.integration

import kotlinx.serialization.json.JsonElement

/** An order or report as received. */
data class Received(
    val kind: String,
    val epoch: Long,
    val holder: String,
    val subject: String,
    val number: Long?,
    val content: String,
)

/** The journal of [platform] in the order of arrival. */
fun receivedBy(platform: StandIn): List<Received> = platform.journal().list("entries").map(::received)

private fun received(entry: JsonElement): Received {
    val kind = entry["kind"].text
    val body = entry["body"]
    val isOrder = kind == "order"
    return Received(
        kind = kind,
        epoch = body["epoch"].text.toLong(),
        holder = body["holder"].text,
        subject = if (isOrder) body["data_centre"].text + "/" + body["upstream"].text else body["window"].text,
        number = if (isOrder) body["number"].text.toLong() else null,
        content = if (isOrder) body["count"].text else body["figures"].toString(),
    )
}

/**
 * What is wrong in [journal], empty when nothing is. I6 and I7: holders do not take turns within a period, so that each
 * epoch has one holder and epochs never go back; a number names one order; a window has one set of figures.
 */
fun faultsIn(journal: List<Received>): List<String> =
    journal.groupBy { it.kind }.flatMap { (kind, entries) ->
        val holders = entries.groupBy({ it.epoch }, { it.holder }).filterValues { it.toSet().size > 1 }
        val backwards = entries.zipWithNext().filter { (before, after) -> after.epoch < before.epoch }
        holders.map { "$kind: epoch ${it.key} has holders ${it.value.toSet()}" } +
            backwards.map { "$kind: ${it.second} came after ${it.first}" }
    } + contradictions(journal)

private fun contradictions(journal: List<Received>): List<String> =
    journal
        .groupBy { Triple(it.kind, it.subject, it.number) }
        .mapValues { (_, entries) -> entries.map { it.content }.toSet() }
        .filterValues { it.size > 1 }
        .map { (subject, contents) -> "$subject has $contents" }
