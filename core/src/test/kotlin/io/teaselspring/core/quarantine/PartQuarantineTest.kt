package io.teaselspring.core.quarantine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.teaselspring.core.InstanceId

private const val SHARED = "instructions"
private const val BAD = "bad"

private fun PartQuarantine.replaceReport(
    from: String,
    report: CrashReport?,
    nowMs: Long,
) = replaceReports(mapOf(from to report), nowMs)

/** Entries that learn each other's reports at once. */
private class Entries(
    count: Int,
    policy: QuarantinePolicy = QuarantinePolicy(),
) {
    val all = List(count) { PartQuarantine("entry-$it", policy) }

    fun crash(
        entry: Int,
        atMs: Long,
        vararg prompts: Set<String>,
    ) {
        all[entry].recordCrash(InstanceId("i-$atMs"), prompts.toList(), atMs)
        share(atMs)
    }

    fun responded(
        entry: Int,
        atMs: Long,
        vararg parts: String,
    ) {
        all[entry].recordResponse(parts.toList(), atMs)
        share(atMs)
    }

    /** Shares until no report changes any more. */
    private fun share(atMs: Long) =
        repeat(2) {
            val reports = all.map { it.ownReport }
            reports.forEachIndexed { from, report -> all.forEach { it.replaceReport("entry-$from", report, atMs) } }
        }

    fun refuse(
        atMs: Long,
        vararg parts: String,
    ): List<Boolean> = all.map { it.refusedForMs(parts.toList(), atMs) != null }
}

private fun List<Boolean>.areAll(value: Boolean) = all { it == value }

// Guards against a part of a prompt that crashes instance after instance because no entry sees enough of the crashes,
// and against crashes of another cause that get sound requests refused.
class PartQuarantineTest :
    FunSpec({
        test("a part that three crashes have in common is refused by all entries, although each saw only one") {
            val entries = Entries(5)
            entries.responded(0, 900, SHARED)
            entries.crash(0, 10_000, setOf(SHARED, BAD))
            entries.crash(1, 12_000, setOf(SHARED, BAD), setOf(SHARED, "other"))
            entries.refuse(12_000, SHARED, BAD).areAll(false) shouldBe true
            entries.crash(2, 13_000, setOf(BAD, "third"))
            entries.all.map { it.quarantined }.toSet() shouldBe setOf(setOf(setOf(BAD)))
            entries.refuse(13_000, "fourth", BAD).areAll(true) shouldBe true
            entries.refuse(13_000, SHARED, "other").areAll(false) shouldBe true
            entries.refuse(13_000, "third").areAll(false) shouldBe true
        }

        test("a part that only comes along with a bad one is refused only together with it") {
            val entries = Entries(2)
            (1..3).forEach { entries.crash(it % 2, it * 1_000L, setOf("always with it", BAD)) }
            entries.refuse(4_000, "always with it").areAll(false) shouldBe true
            entries.refuse(4_000, BAD, "always with it").areAll(true) shouldBe true
            entries.crash(0, 5_000, setOf(BAD))
            entries.refuse(5_000, BAD).areAll(true) shouldBe true
            entries.refuse(5_000, "always with it").areAll(false) shouldBe true
        }

        test("a response at any entry clears a part at all entries") {
            val entries = Entries(3)
            (1..4).forEach { entries.crash(0, it * 1_000L, setOf(SHARED)) }
            entries.refuse(4_000, SHARED).areAll(true) shouldBe true
            entries.responded(2, 4_100, SHARED)
            entries.refuse(4_200, SHARED).areAll(false) shouldBe true
            entries.all.any { it.isSuspected(listOf(SHARED)) } shouldBe false
        }

        test("two instances that crash together count as one crash") {
            val entries = Entries(4)
            listOf(10_000L, 10_020, 11_000, 11_020).forEachIndexed { entry, atMs ->
                entries.crash(entry, atMs, setOf(SHARED), setOf("rare"), setOf("rare"))
            }
            entries.refuse(11_100, SHARED).areAll(false) shouldBe true
            entries.refuse(11_100, "rare").areAll(false) shouldBe true
            entries.crash(0, 12_000, setOf("rare"))
            entries.refuse(12_000, "rare").areAll(true) shouldBe true
        }

        test("many instances that crash together, again and again, are no evidence against a part") {
            val entries = Entries(4)
            (1..20).forEach { time ->
                repeat(4) { entries.crash(it, time * 1_000L + it * 20, setOf(SHARED), setOf("rare")) }
            }
            entries.refuse(20_100, SHARED, "rare").areAll(false) shouldBe true
        }

        test("crashes that a part survives again and again don't count") {
            val entries = Entries(2)
            (1..20).forEach {
                entries.crash(0, it * 1_000L, setOf(SHARED))
                entries.responded(1, it * 1_000L + 300, SHARED)
            }
            entries.refuse(20_500, SHARED).areAll(false) shouldBe true
        }

        test("a request is told when the quarantine ends, and is sent again then") {
            val entries = Entries(1, QuarantinePolicy(evidenceMs = 60_000))
            (1..3).forEach { entries.crash(0, it * 1_000L, setOf(BAD)) }
            entries.all.single().refusedForMs(listOf(BAD), 11_000) shouldBe 50_000
            entries.all.single().expire(62_000)
            entries.all.single().refusedForMs(listOf(BAD), 62_000) shouldBe null
        }

        test("an entry that starts takes up its own report and those of the others") {
            val entries = Entries(2)
            (1..3).forEach { entries.crash(it % 2, it * 1_000L, setOf(BAD)) }
            val started = PartQuarantine("entry-0")
            entries.all.forEachIndexed { from, entry -> started.replaceReport("entry-$from", entry.ownReport, 4_000) }
            started.refusedForMs(listOf(BAD), 4_000) shouldNotBe null
            started.ownReport shouldBe entries.all[0].ownReport
        }

        // Reports have a limited size; later crashes must not end a quarantine.
        test("a report stays small, and later crashes of another cause don't push a quarantined part out of it") {
            val entries = Entries(1, QuarantinePolicy(maxRequests = 8))
            (1..3).forEach { entries.crash(0, it * 1_000L, setOf(BAD, "with $it")) }
            (1..100).forEach { entries.crash(0, 5_000L + it * 1_000, setOf("innocent $it")) }
            entries.all
                .single()
                .ownReport.requests.size shouldBeLessThanOrEqual 8
            entries.refuse(110_000, BAD).areAll(true) shouldBe true
            entries.all.single().quarantined shouldBe setOf(setOf(BAD))
        }

        // The loss of a data centre implicates nearly all parts once, and each row of the store has a limited size.
        test("a report stays small although many parts are implicated and had responses") {
            val entry = PartQuarantine("entry-0")
            repeat(100) { reporter ->
                val parts = List(32) { "part $reporter-$it" }
                parts.forEach { entry.recordResponse(listOf(it), 20_000) }
                val requests =
                    parts.mapIndexed { at, part -> CrashedRequest(at * 600L, InstanceId("i-$at"), setOf(part)) }
                entry.replaceReport("entry-${reporter + 1}", CrashReport(requests), 20_000)
            }
            entry.ownReport.responses.size shouldBeLessThanOrEqual 32
            repeat(100) { entry.recordCrash(InstanceId("i-$it"), listOf(setOf("own part $it")), 30_000L + it * 600) }
            entry.ownReport.requests.size shouldBeLessThanOrEqual 32
        }

        test("reports whose rows are deleted no longer count, also for the entry that wrote them") {
            val entries = Entries(2)
            (1..3).forEach { entries.crash(0, it * 1_000L, setOf(BAD)) }
            entries.all.forEach { it.replaceReport("entry-0", null, 4_000) }
            entries.refuse(4_000, BAD).areAll(false) shouldBe true
        }
    })
