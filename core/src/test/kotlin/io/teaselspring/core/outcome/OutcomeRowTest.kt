package io.teaselspring.core.outcome

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.teaselspring.core.Incarnation
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.RequestId

// Guards against a repeated request that runs a second time or gets the response to another request.
class OutcomeRowTest :
    FunSpec({
        val claim = OutcomeRow(RequestId("r1"), Incarnation("e"), "f", 0)
        val response = OutcomeResponse(200, emptyList(), "")

        test("only the request that holds the claim may run, and only until its response is stored") {
            claim.lookupFor(RequestId("r1"), "f") shouldBe ClaimLookup.OwnClaim
            claim.lookupFor(RequestId("r2"), "f") shouldBe ClaimLookup.Unknown
            claim.lookupFor(RequestId("r2"), "g") shouldBe ClaimLookup.OtherRequest
            claim.copy(response = response).lookupFor(RequestId("r1"), "f") shouldBe ClaimLookup.Completed(response)
        }

        test("different keys and organisations never share a row") {
            val acme = OrganisationId("acme")
            val keys = listOf("a", "a/b", "a%2Fb", "x".repeat(200), "", "sha256:")
            (keys.map { outcomeRowKey(acme, it) } + keys.map { outcomeRowKey(null, it) }).toSet().size shouldBe 12
            outcomeRowKey(acme, "b") shouldNotBe outcomeRowKey(OrganisationId("acme2"), "b")
        }
    })
