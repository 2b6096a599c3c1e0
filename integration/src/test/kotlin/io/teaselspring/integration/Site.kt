/*
 * A small site of real processes: the platform, engines and a plain service as stand-ins, an agent beside each, and
 * two entries. Ports are chosen by the system.
 */
package io.teaselspring.integration

import java.nio.file.Path
import java.security.MessageDigest
import java.util.HexFormat
import kotlin.io.path.writeText

const val DATA_CENTRE: String = "oviedo"
const val MODEL: String = "narrador"
private const val OPERATOR_KEY = "operator-key-of-the-integration-tests"

/** A stand-in and the URL of its HTTP interface. */
class StandIn(
    val process: ManagedProcess,
) {
    val url: String get() = "http://127.0.0.1:${process.listening.getValue("port")}"

    /** Sets the faults in force; JSON as in docs/platform-api.md. */
    fun faults(json: String) {
        val response = send("POST", "$url/faults", json)
        check(response.status == 200) { "faults of ${process.name}: $response" }
    }

    /** What the stand-in has seen. */
    fun journal() = send("GET", "$url/journal").json
}

/** Starts a killed stand-in again on its old port, with nothing of what it held. */
fun Site.restart(standIn: StandIn): StandIn {
    val port = listOf("--port", standIn.process.listening.getValue("port"))
    val arguments = standIn.process.command.drop(1)
    return StandIn(host.start(standIn.process.name, "standins", arguments + port)).also { it.url }
}

/** A fault proxy in front of one listener. */
class Proxy(
    val process: ManagedProcess,
) {
    val address: String get() = "127.0.0.1:${process.listening.getValue("port")}"

    /** Sets the faults in force; JSON with `cut`, `delay_ms`, `drop_client_to_server` and the like. */
    fun faults(json: String) {
        val response = send("POST", "http://127.0.0.1:${process.listening.getValue("control_port")}/faults", json)
        check(response.status == 200) { "faults of ${process.name}: $response" }
    }
}

/** A process of the system. */
class Node(
    var process: ManagedProcess,
) {
    val name: String get() = process.name
    val callers: String get() = "http://${process.listening.getValue("callers")}"
    val operators: String get() = "http://${process.listening.getValue("operators")}"
    val internal: String get() = process.listening.getValue("internal")

    /** A response of the operators' listener, with the operator's key. */
    fun operator(
        method: String,
        path: String,
        body: String? = null,
    ): Response = send(method, operators + path, body, mapOf("Authorization" to "Bearer $OPERATOR_KEY"))
}

/** The result of a run of `teaselspringctl`. */
data class CtlResult(
    val exitCode: Int,
    val output: String,
)

/** A key as its owner has it. */
data class Key(
    val id: String,
    val secret: String,
) {
    val header: Map<String, String> get() = mapOf("Authorization" to "Bearer $secret")
}

/** The processes of a site. [close] ends all of them. */
class Site : AutoCloseable {
    val host: ProcessHost = ProcessHost()
    private val secretFile = file("shared-secret", "shared-secret-of-the-integration-tests")
    private val operatorKeyFile = file("operator.key", OPERATOR_KEY)

    /** Receivers of orders for `narradores` check epochs, those for `taquilla` do not, as in the example. */
    val platform: StandIn = StandIn(standin("platform", "platform", "--checks-epoch", "narradores", "--lag-ms", "200"))

    fun engine(
        name: String,
        vararg options: String,
    ): StandIn = StandIn(standin(name, "engine", "--model", MODEL, *options))

    fun service(name: String): StandIn = StandIn(standin(name, "service"))

    /** A proxy in front of [address], "IP:port". */
    fun proxy(
        name: String,
        address: String,
    ): Proxy = Proxy(standin(name, "proxy", "--target", address))

    /** Starts an agent beside an upstream instance; [models] is empty for a plain service. */
    fun agent(
        name: String,
        upstream: String,
        upstreamUrl: String,
        models: List<String> = emptyList(),
        extra: String = "",
    ): Node {
        val own =
            """"upstream": "$upstream", "upstream_url": "$upstreamUrl",
            "models": [${models.joinToString { "\"$it\"" }}], $extra"""
        return Node(daemon(name, "agent", own, platform.url))
    }

    /** Starts an entry. [extra] are further settings, each with its comma at the end. */
    fun entry(
        name: String,
        platformUrl: String = platform.url,
        extra: String = "",
    ): Node = Node(daemon(name, "entry", """"callers_address": "127.0.0.1:0", $extra""", platformUrl))

    /** Puts a process into the platform's list of instances. */
    fun list(
        node: Node,
        role: String,
        upstream: String? = null,
        internal: String = node.internal,
    ) {
        val body =
            """{"role": "$role", "data_centre": "$DATA_CENTRE", "internal_address": "$internal",
            "operator_address": "${node.process.listening.getValue("operators")}",
            "upstream": ${upstream?.let { "\"$it\"" }}, "state": "live"}"""
        val response = send("PUT", "${platform.url}/instances/${node.name}", body)
        check(response.status == 200) { "listing ${node.name}: $response" }
    }

    /** Runs `teaselspringctl` against [entry] and waits for its end. */
    fun ctl(
        entry: Node,
        vararg arguments: String,
    ): CtlResult {
        val options = listOf("--daemon", entry.operators, "--operator-key-file", operatorKeyFile.toString())
        val process = host.start("ctl", "teaselspringctl", options + listOf("--output", "json") + arguments)
        return CtlResult(process.awaitExit(), process.log)
    }

    /** Writes a file into the directory of the site. */
    fun file(
        name: String,
        text: String,
    ): Path = host.directory.resolve(name).also { it.writeText(text) }

    override fun close() = host.close()

    private fun standin(
        name: String,
        vararg arguments: String,
    ) = host.start(name, "standins", arguments.toList())

    private fun daemon(
        name: String,
        role: String,
        own: String,
        platformUrl: String,
    ): ManagedProcess {
        val settings =
            """{"role": "$role", "instance": "$name", "region": "norte", "data_centre": "$DATA_CENTRE", $own
            "operators_address": "127.0.0.1:0", "internal_address": "127.0.0.1:0", "platform_url": "$platformUrl",
            "shared_secret_file": "$secretFile", "operator_key_sha256": "${sha256(OPERATOR_KEY)}"}"""
        return host.start(name, "teaselspringd", listOf("--settings", file("$name.jsonc", settings).toString()))
    }
}

private fun sha256(text: String) =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()))
