/*
 * Guards against streams that are joined from instances of two software versions: within one answer, after an instance
 * broke off, and over the attempts of a caller that resumes a stream at any entry.
 */
package io.teaselspring.daemon.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import io.teaselspring.daemon.eventually
import kotlinx.coroutines.delay

class SoftwareVersionTest :
    FunSpec({
        // An instance breaks off and another one of another version continues the answer.
        test("a stream that breaks off goes on only at an instance of the version that began it") {
            val first = VersionedUpstream("v1", breaks = true)
            val same = VersionedUpstream("v1")
            val others = List(4) { VersionedUpstream("v2") }
            val all = listOf(first, same) + others
            withStore {
                val site = entry(*all.mapIndexed { index, one -> "i-$index" to one }.toTypedArray())
                val answers = (1..60).map { site.call(RESUMED, id = "r$it") }
                first.upstream.requests.value.size shouldBeGreaterThan 0
                answers.forEach { withClue(it) { it.versions().size shouldBe 1 } }
                same.resumptions.size shouldBe first.upstream.requests.value.size
            }
        }

        test("a stream is cut when no instance of its version is left") {
            val first = VersionedUpstream("v1", breaks = true)
            val other = VersionedUpstream("v2")
            withStore {
                val site = entry("i-1" to first, "i-2" to other)
                val answers = (1..40).map { site.call(RESUMED, id = "r$it") }
                first.upstream.requests.value.size shouldBeGreaterThan 0
                answers.forEach { withClue(it) { it.versions().size shouldBe 1 } }
                answers.count { it.isCut() } shouldBe first.upstream.requests.value.size
                other.resumptions shouldBe emptyList()
            }
        }

        // The caller's connection broke, and its next attempt reaches an entry that did not see the first one.
        listOf("the same entry", "another entry").forEachIndexed { resuming, name ->
            test(
                "a stream that its caller resumes at $name goes on at its version",
            ) {
                val old = List(2) { VersionedUpstream("v1", breaks = true) }
                val new = List(2) { VersionedUpstream("v2", breaks = true) }
                val instances = (old + new).mapIndexed { index, one -> "i-$index" to one }.toTypedArray()
                withStore {
                    val entries = List(2) { entry(*instances) }
                    val begun = List(20) { "b$it" to entries[0].begin("b$it") }
                    (old + new).forEach { it.breaks.set(false) }
                    val answers = begun.map { (id, version) -> version to entries[resuming].resume(id, "$id-2") }
                    answers.forEach { (version, answer) ->
                        withClue(answer) { answer.versions() shouldBe setOf(version) }
                    }
                }
            }
        }

        // All entries are killed while two versions serve, and those that start again have seen no stream begin.
        test("a stream that is resumed after all entries were killed goes on at its version") {
            val old = List(2) { VersionedUpstream("v1", breaks = true) }
            val new = List(2) { VersionedUpstream("v2", breaks = true) }
            val instances = (old + new).mapIndexed { index, one -> "i-$index" to one }.toTypedArray()
            withStore {
                val first = entry(*instances)
                val begun = List(20) { "b$it" to first.begin("b$it") }
                Thread.sleep(RECORDED_WITHIN_MS)
                kill(first)
                (old + new).forEach { it.breaks.set(false) }
                val second = entry(*instances)
                begun.forEach { (id, version) ->
                    val answer = second.resume(id, "$id-2")
                    withClue(answer) { answer.versions() shouldBe setOf(version) }
                }
            }
        }

        // A read of the store for each resumption is too slow for its caller while an entry has just started.
        test("an entry that is ready after all were killed resumes recorded streams without asking the store") {
            val old = List(2) { VersionedUpstream("v1", breaks = true) }
            val new = List(2) { VersionedUpstream("v2", breaks = true) }
            val instances = (old + new).mapIndexed { index, one -> "i-$index" to one }.toTypedArray()
            withStore {
                val first = entry(*instances)
                val begun = List(20) { "b$it" to first.begin("b$it") }
                Thread.sleep(RECORDED_WITHIN_MS)
                kill(first)
                (old + new).forEach { it.breaks.set(false) }
                val second = entry(*instances)
                fail()
                begun.forEach { (id, version) ->
                    val answer = second.resume(id, "$id-2")
                    withClue(answer) {
                        answer.versions() shouldBe setOf(version)
                        answer shouldContain "id: $LAST_EVENT\n"
                    }
                }
            }
        }

        // As above, and the instances of the earlier version have left before the entries are back.
        test("a stream whose version has left while all entries were down is refused as not run") {
            val old = VersionedUpstream("v1", breaks = true)
            val new = VersionedUpstream("v2")
            withStore {
                val first = entry("i-1" to old)
                first.begin("b1") shouldBe "v1"
                kill(first)
                val second = entry("i-2" to new)
                val answer = second.resume("b1", "b1-2")
                withClue(answer) {
                    answer shouldStartWith "HTTP/1.1 503"
                    answer shouldContain "\"ran\":\"not run\""
                    answer shouldContain "Retry-After: "
                }
                new.resumptions shouldBe emptyList()
                eventually { second.call(RESUMED, id = "n1") shouldContain "data: v2" }
            }
        }

        // The entry has not heard of the version that began the stream through another entry.
        test("a stream that is resumed at an entry out of step does not go on at another version") {
            val old = VersionedUpstream("v1")
            val new = VersionedUpstream("v2", breaks = true)
            withStore {
                val inTouch = entry("i-1" to old)
                val behind = entry("i-1" to old)
                cutOff(behind)
                inTouch.add("i-2", new)
                delay(REGISTRY_INTERVAL * 4)
                val begun =
                    (1..40).map { "b$it" }.filter { "data: v2" in inTouch.call(RESUMED, id = it) }
                begun.size shouldBeGreaterThan 0
                begun.forEach { id -> behind.resume(id, "$id-2") shouldNotContain "data: v1" }
                old.resumptions shouldBe emptyList()
            }
        }

        test("an entry that cannot ask the store refuses a stream that it has not seen begin") {
            val instance = VersionedUpstream("v1")
            withStore {
                val site = entry("i-1" to instance)
                fail()
                val answer = site.resume("b1", "b1-2")
                withClue(answer) {
                    answer shouldStartWith "HTTP/1.1 503"
                    answer shouldContain "\"ran\":\"not run\""
                }
                instance.resumptions shouldBe emptyList()
            }
        }

        // Resumptions are refused only where it is unknown which version began the stream.
        test("a stream is resumed after all entries were killed while only one version has served") {
            val instances = List(2) { VersionedUpstream("v1", breaks = true) }
            val registered = instances.mapIndexed { index, one -> "i-$index" to one }.toTypedArray()
            withStore {
                val first = entry(*registered)
                val begun = List(20) { "b$it".also(first::begin) }
                kill(first)
                instances.forEach { it.breaks.set(false) }
                val second = entry(*registered)
                begun.forEach { second.resume(it, "$it-2") shouldContain "id: $LAST_EVENT\n" }
            }
        }

        test(
            "the name of another organisation's stream reveals nothing about it",
        ) {
            val old = VersionedUpstream("v1", breaks = true)
            val new = VersionedUpstream("v2", breaks = true)
            withStore {
                val site = entry("i-1" to old, "i-2" to new)
                site.begin("b1")
                val resumed = "Last-Event-Id: 1\r\nX-Resumes: "
                val foreign = site.call(RESUMED, key = URGENT_KEY, id = "f1", headers = "${resumed}b1\r\n")
                val unknown = site.call(RESUMED, key = URGENT_KEY, id = "f1", headers = "${resumed}none\r\n")
                foreign.substringAfter("\r\n\r\n") shouldBe unknown.substringAfter("\r\n\r\n")
                foreign shouldStartWith "HTTP/1.1 503"
            }
        }
    })

/** Longer than a begun stream takes to be recorded in the store. */
private const val RECORDED_WITHIN_MS = 1_500L
