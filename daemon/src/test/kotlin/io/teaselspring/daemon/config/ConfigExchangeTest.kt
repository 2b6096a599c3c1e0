package io.teaselspring.daemon.config

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.KeyId
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.config.ApiKey
import io.teaselspring.core.config.ConfigChange
import io.teaselspring.core.config.ConfigEdit
import io.teaselspring.core.config.ConfigState
import io.teaselspring.core.config.Organisation
import io.teaselspring.core.keys.sha256Hex
import io.teaselspring.daemon.control.FakePlatform
import io.teaselspring.daemon.membership.ControlPeers
import io.teaselspring.daemon.membership.OUTGOING_LINKS
import io.teaselspring.daemon.membership.PeerLink
import io.teaselspring.protocol.MAX_FRAME_BYTES
import io.teaselspring.protocol.Message
import io.teaselspring.protocol.decodeMessage
import io.teaselspring.protocol.encode
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TestTimeSource

/** Header bytes of TCP and IP in one packet, and as much again for its acknowledgement. */
private const val PACKET_OVERHEAD_BYTES = 80

/** Entries joined by links with a delay, on one virtual clock; counts what each entry sends and receives. */
private class Mesh(
    size: Int,
    linksEach: Int,
    private val random: Random,
) {
    val time = TestTimeSource()
    val entries = List(size) { TestEntry(FakePlatform(), time, it) }
    val bytes = LongArray(size)
    private val peers = entries.map { ControlPeers(it.holder, it.exchange, random) }
    private val events = PriorityQueue<Event>(compareBy({ it.atMs }, { it.order }))
    private var nowMs = 0L
    private var order = 0L

    private class Event(
        val atMs: Long,
        val order: Long,
        val run: () -> Unit,
    )

    init {
        repeat(size) { from -> repeat(linksEach) { connect(from, (from + random.nextInt(1, size)) % size) } }
        repeat(size) { node -> after(random.nextLong(1000)) { tick(node) } }
    }

    private fun connect(
        a: Int,
        b: Int,
    ) {
        lateinit var back: PeerLink
        val forth = PeerLink(InstanceId("e$b")) { send(a, b, back, it) }
        back = PeerLink(InstanceId("e$a")) { send(b, a, forth, it) }
        peers[a].onLinkOpened(forth)
        peers[b].onLinkOpened(back)
        after(random.nextLong(3000)) { keepAlive(a, forth) }
        after(random.nextLong(3000)) { keepAlive(b, back) }
    }

    private fun send(
        from: Int,
        to: Int,
        seenAs: PeerLink,
        message: Message,
    ): Boolean {
        val size = message.encode().size + 4 + PACKET_OVERHEAD_BYTES
        bytes[from] += size.toLong()
        bytes[to] += size.toLong()
        after(random.nextLong(1, 60)) { peers[to].onMessage(seenAs, message) }
        return true
    }

    private fun tick(node: Int) {
        peers[node].announceVersions()
        after(random.nextLong(900, 1100)) { tick(node) }
    }

    private fun keepAlive(
        node: Int,
        link: PeerLink,
    ) {
        link.offer(entries[node].exchange.versions())
        after(3000) { keepAlive(node, link) }
    }

    private fun after(
        delayMs: Long,
        run: () -> Unit,
    ) {
        order += 1
        events += Event(nowMs + delayMs, order, run)
    }

    /** Runs until [done] or for [limitMs], and returns the time that passed. */
    fun run(
        limitMs: Long,
        done: () -> Boolean,
    ): Long {
        val startMs = nowMs
        while (!done() && events.isNotEmpty() && events.peek().atMs <= startMs + limitMs) {
            val event = events.poll()
            time += (event.atMs - nowMs).milliseconds
            nowMs = event.atMs
            event.run()
        }
        return nowMs - startMs
    }
}

private fun change(version: Long) =
    ConfigChange(
        version,
        "c$version",
        "a",
        0,
        listOf(ConfigEdit.PutOrganisation(OrganisationId("o$version"), Organisation())),
    )

// Guards against entries that stay behind while the store is down, and against an exchange that exceeds its budget.
class ConfigExchangeTest :
    FunSpec({
        test("a change reaches 330 entries within 11 s below 4 KB/s each, over 5 seeds") {
            repeat(5) { seed ->
                val mesh = Mesh(330, OUTGOING_LINKS, Random(seed))
                mesh.run(10_000) { false }
                mesh.bytes.fill(0)
                mesh.entries[0].holder.apply(listOf(change(1)))
                val tookMs = mesh.run(30_000) { mesh.entries.all { it.holder.state.version == 1L } }
                mesh.run(60_000 - tookMs) { false }
                println("seed=$seed converged_ms=$tookMs max_bytes_per_s=${mesh.bytes.max() / 60}")
                tookMs shouldBeLessThan 11_000
                mesh.bytes.max() / 60 shouldBeLessThan 4_000
            }
        }

        test("every kind of change reaches a peer through the encoding between processes and the table") {
            val document = Json.parseToJsonElement("""{"a": {"b": [1, null, "x"]}}""") as JsonObject
            val key = ApiKey(OrganisationId("o1"), sha256Hex("s"), 1, 2)
            val edits =
                listOf(
                    ConfigEdit.PutBase(document),
                    ConfigEdit.PutOverlay(DataCentre("oviedo"), document),
                    ConfigEdit.PutOverlay(DataCentre("gijon"), null),
                    ConfigEdit.PutOrganisation(OrganisationId("o1"), Organisation(2, 0.5, 3)),
                    ConfigEdit.PutOrganisation(OrganisationId("o2"), null),
                    ConfigEdit.PutKey(KeyId("k"), key),
                )
            val change = ConfigChange(1, "c", "a", 5, edits)
            val message = Message.ConfigChanges(listOf(change))
            decodeMessage(message.encode()) shouldBe message
            Json.decodeFromString<ConfigChange>(Json.encodeToString(change)) shouldBe change
        }

        test("an entry that knows nothing learns the whole state from a peer while the store is down") {
            val mesh = Mesh(2, 1, Random(1))
            repeat(150) { mesh.entries[0].holder.apply(listOf(change(it + 1L))) }
            mesh.run(5_000) { false }
            mesh.entries[1].holder.state shouldBe mesh.entries[0].holder.state
            mesh.entries[1].holder.isServingAllowed() shouldBe true
        }

        test("a pending withdrawal spreads without the store and stops the key") {
            val mesh = Mesh(12, 3, Random(2))
            val key = ApiKey(OrganisationId("o1"), sha256Hex("secret"), 0)
            val state = ConfigState(7, keys = mapOf(KeyId("k-1") to key))
            mesh.entries.forEach { it.holder.install(state) }
            mesh.entries[3].holder.withdraw(setOf(KeyId("k-1")))
            mesh.run(5_000) { false }
            mesh.entries.map { it.holder.authenticate("secret") }.toSet() shouldBe setOf(null)
        }

        test("an entry without contact refuses after the isolation limit, and serves again after contact") {
            val entry = TestEntry(FakePlatform())
            entry.holder.isServingAllowed() shouldBe false
            entry.exchange.onMessage(InstanceId("p"), entry.exchange.versions())
            entry.time += 10.minutes
            entry.holder.isServingAllowed() shouldBe true
            entry.time += 1.milliseconds
            entry.holder.isServingAllowed() shouldBe false
        }

        test("a snapshot of 46,000 organisations with a key each fits one frame") {
            val random = Random(3)
            val ids = List(46_000) { OrganisationId("organisation-$it") }
            val organisations = ids.associateWith { Organisation(random.nextInt(1, 9), random.nextInt(1, 99) / 2.0, 8) }
            val keys =
                ids.associate {
                    KeyId("k-%016x".format(random.nextLong())) to
                        ApiKey(it, sha256Hex("$it"), random.nextLong(1L shl 40))
                }
            val bytes = encodeSnapshot(ConfigState(9, organisations = organisations, keys = keys))
            println("snapshot_bytes=${bytes.size}")
            bytes.size shouldBeLessThan MAX_FRAME_BYTES - 1024
        }
    })
