package io.teaselspring.core.registry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

// Guards against a version that is forgotten while streams that it began can still be resumed.
class VersionHistoryTest :
    FunSpec({
        test("a version counts for a window after it has left, and again when it is back") {
            val both = VersionHistory().observe(setOf("v1", "v2"), 0)
            val left = both.observe(setOf("v2"), 1_000).observe(setOf("v2"), 5_000)
            left.serves("v1") shouldBe false
            left.servedWithin(windowMs = 10_000, nowMs = 10_999) shouldBe setOf("v1", "v2")
            left.servedWithin(windowMs = 10_000, nowMs = 11_000) shouldBe setOf("v2")
            left.observe(setOf("v1", "v2"), 20_000).serving shouldBe setOf("v1", "v2")
        }

        test("a version that left long ago is dropped") {
            val left = VersionHistory(mapOf("v1" to 0L, "v2" to null))
            left.observe(setOf("v2"), 600_000) shouldBe VersionHistory(mapOf("v2" to null))
        }

        test("versions that only one of two histories knows are kept, and the newer one decides about the others") {
            val known = VersionHistory(mapOf("v1" to null, "v2" to null))
            val newer = VersionHistory(mapOf("v1" to 70L, "v3" to null))
            known.updatedBy(newer) shouldBe VersionHistory(mapOf("v1" to 70L, "v2" to null, "v3" to null))
        }

        test("an unknown version counts for a window, whatever instances state") {
            val history = VersionHistory().withUnknown(100).observe(setOf("v1", "unknown"), 100)
            history.servedWithin(windowMs = 1_000, nowMs = 1_099).size shouldBe 3
            history.servedWithin(windowMs = 1_000, nowMs = 1_100) shouldBe setOf("v1", "unknown")
        }
    })
