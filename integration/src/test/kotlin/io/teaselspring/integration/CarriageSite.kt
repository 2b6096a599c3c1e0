/*
 * The site that most tests use: the example configuration of the carriage company, two engines, one plain service,
 * and two entries.
 */
package io.teaselspring.integration

import kotlin.io.path.readText

/**
 * Starts the processes, applies the configuration and creates one organisation with one key. [extra] are further
 * settings of every daemon, each with its comma at the end.
 */
class CarriageSite(
    extra: String = "",
) : AutoCloseable {
    val site: Site = Site()
    val engines: List<StandIn> = listOf("engine-1", "engine-2").map { site.engine(it, "--base-token-ms", "20") }
    val service: StandIn = site.service("service-1")
    val agents: List<Node> =
        engines.mapIndexed { index, engine ->
            site.agent("agent-${index + 1}", "narradores", engine.url, listOf(MODEL), extra)
        }
    val serviceAgent: Node = site.agent("agent-3", "taquilla", service.url, emptyList(), extra)
    val entries: List<Node> = listOf("entry-1", "entry-2").map { site.entry(it, extra = extra) }
    val key: Key

    init {
        try {
            agents.forEach { site.list(it, "agent", "narradores") }
            site.list(serviceAgent, "agent", "taquilla")
            entries.forEach { site.list(it, "entry") }
            configure()
            key = createKey("hotel-mirador")
            awaitServing()
        } catch (e: IllegalStateException) {
            val logs =
                site.host
                    .logs()
                    .entries
                    .joinToString("\n") { (name, log) -> "--- $name\n$log" }
            close()
            throw IllegalStateException("the site did not start\n$logs", e)
        }
    }

    /** Applies the example with [change] made to its base. */
    fun apply(
        name: String,
        change: (String) -> String,
    ): CtlResult {
        val example = repositoryRoot.resolve("examples/carriage/base.jsonc").readText()
        return site.ctl(entries.first { it.process.isAlive }, "apply", "--base", "${site.file(name, change(example))}")
    }

    private fun configure() {
        val base = repositoryRoot.resolve("examples/carriage/base.jsonc").toString()
        val result = site.ctl(entries[0], "apply", "--base", base)
        check(result.exitCode == 0) { "apply: $result" }
    }

    /** Creates an organisation with one key. */
    fun createKey(organisation: String): Key {
        val created = site.ctl(entries[0], "org", "create", organisation)
        check(created.exitCode == 0) { "org create: $created" }
        val result = site.ctl(entries[0], "key", "create", "--org", organisation)
        check(result.exitCode == 0) { "key create: $result" }
        val response = Response(200, result.output).json
        return Key(response["id"].text, response["secret"].text)
    }

    /** Waits until every entry serves every model and path with [key]. */
    fun awaitServing(to: List<Node> = entries) =
        to.forEach { entry ->
            awaitTrue("${entry.name} serves") {
                send("GET", "${entry.callers}/timetable/x").status == 200 &&
                    send("POST", "${entry.callers}/v1/chat/completions", chat(1, false), key.header).status == 200
            }
        }

    /** Makes a booking through [entry]. */
    fun book(
        entry: Node,
        path: String = "/bookings/seat",
        idempotencyKey: String? = null,
        key: Key = this.key,
    ): Response {
        val headers = key.header + (idempotencyKey?.let { mapOf("Idempotency-Key" to it) } ?: emptyMap())
        return send("POST", entry.callers + path, "{}", headers)
    }

    /** Opens a stream of [tokens] tokens through [entry]. */
    fun stream(
        entry: Node,
        tokens: Int,
        key: Key = this.key,
        text: String = "A ride along the coast",
    ): EventStream = EventStream("${entry.callers}/v1/chat/completions", chat(tokens, true, text), key.header)

    /** The `data:` lines that an engine gives for the same request without anything in between. */
    fun direct(
        tokens: Int,
        text: String = "A ride along the coast",
    ): List<String> {
        val stream = EventStream("${engines[1].url}/v1/chat/completions", chat(tokens, true, text), emptyMap())
        stream.end.join()
        return stream.data
    }

    /** How often the service ran calls on [path]. */
    fun runsOn(path: String): Int = service.journal().list("entries").count { it["path"].text == path }

    /** Runs [check] and adds the logs of all processes to a failure. */
    fun <T> withLogs(check: () -> T): T =
        try {
            check()
        } catch (e: AssertionError) {
            val logs =
                site.host.logs().entries.joinToString(
                    "\n",
                ) { (name, log) -> "--- $name\n${log.takeLast(4_000)}" }
            throw AssertionError("${e.message}\n$logs", e)
        }

    override fun close() = site.close()
}

/** A chat request with a fixed seed, so that every engine gives the same text. */
fun chat(
    tokens: Int,
    stream: Boolean,
    text: String = "A ride along the coast",
): String =
    """{"model": "$MODEL", "stream": $stream, "max_tokens": $tokens, "seed": 7,
    "messages": [{"role": "user", "content": "$text"}]}"""
