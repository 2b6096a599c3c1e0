/*
 * Names of the headers exchanged by callers, entries and upstream instances. A deployment may set its own names.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.daemon.http.HOP_BY_HOP

/**
 * Header names. [tokenCount] states the prompt tokens and the most output tokens of a request, "P,O", and [lengthHint]
 * the caller's estimate of its output tokens. [resumes] names the request that brought the first event of a stream that
 * its caller resumes. Headers in [systemOnly] are set by the system only and never forwarded
 * from a caller; those in [perConnection] are hop-by-hop. All comparisons ignore case.
 */
data class HeaderNames(
    val requestId: String = "X-Request-Id",
    val timeBudgetMs: String = "X-Time-Budget-Ms",
    val key: String = "X-Api-Key",
    val organisation: String = "X-Organisation",
    val expectInstance: String = "X-Expect-Instance",
    val priority: String = "X-Priority",
    val promptParts: String = "X-Prompt-Parts",
    val tokenCount: String = "X-Token-Count",
    val lengthHint: String = "X-Length-Hint",
    val signature: String = "X-Signature",
    val notRun: String = "X-Not-Run",
    val load: String = "X-Load",
    val instanceId: String = "X-Instance-Id",
    val fetchFrom: String = "X-Fetch-From",
    val requestLimit: String = "X-Request-Limit",
    val leaving: String = "X-Leaving",
    val warmUpLeft: String = "X-Warm-Up-Left-Ms",
    val resumes: String = "X-Resumes",
    val systemOnly: Set<String> = emptySet(),
) {
    /** Lower-case names that are not copied from a caller's request to an upstream. */
    val notForwarded: Set<String> =
        (systemOnly + listOf(key, organisation, expectInstance, priority, timeBudgetMs, fetchFrom) + perConnection)
            .mapTo(HashSet()) { it.lowercase() }

    companion object {
        /** Lower-case names of headers that apply to one connection or one message only and are not forwarded. */
        val perConnection: Set<String> = HOP_BY_HOP + setOf("proxy-authorization", "content-length", "expect")
    }
}
