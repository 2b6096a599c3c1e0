package io.teaselspring.core.config

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject

// Guards against an overlay that drops members of the base that it does not mention.
class MergePatchTest :
    FunSpec({
        fun json(text: String) = Json.parseToJsonElement(text).jsonObject

        test("keeps members that the patch does not mention, replaces values and removes nulls") {
            val base = json("""{"a": {"x": 1, "y": 2}, "b": [1, 2], "c": 3}""")
            val patch = json("""{"a": {"y": 5, "z": {"q": 1}}, "b": [9], "c": null}""")
            base.mergedWith(patch) shouldBe json("""{"a": {"x": 1, "y": 5, "z": {"q": 1}}, "b": [9]}""")
        }
    })
