package io.teaselspring.daemon

import io.kotest.matchers.shouldBe
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.network.selector.SelectorManager
import io.teaselspring.core.ClassName
import io.teaselspring.core.DataCentre
import io.teaselspring.core.Incarnation
import io.teaselspring.core.InstanceId
import io.teaselspring.core.KeyId
import io.teaselspring.core.ModelName
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.config.Organisation
import io.teaselspring.core.config.Route
import io.teaselspring.core.config.ServiceClass
import io.teaselspring.core.config.SiteConfig
import io.teaselspring.core.config.Upstream
import io.teaselspring.core.config.UpstreamKind
import io.teaselspring.daemon.agent.Agent
import io.teaselspring.daemon.agent.AgentDependencies
import io.teaselspring.daemon.config.Caller
import io.teaselspring.daemon.config.ConfigSource
import io.teaselspring.daemon.config.SiteView
import io.teaselspring.daemon.entry.Entry
import io.teaselspring.daemon.entry.EntryDependencies
import io.teaselspring.daemon.entry.NoOutcomeStore
import io.teaselspring.daemon.entry.OutcomeStore
import io.teaselspring.daemon.link.LinkContext
import io.teaselspring.daemon.link.LinkIdentity
import io.teaselspring.daemon.link.listenForLinks
import io.teaselspring.daemon.settings.AgentSettings
import io.teaselspring.daemon.settings.RequestLimits
import io.teaselspring.daemon.settings.Settings
import io.teaselspring.daemon.settings.SiteAddresses
import io.teaselspring.daemon.usage.NoUsage
import io.teaselspring.daemon.usage.UsageRecorder
import io.teaselspring.protocol.Message
import io.teaselspring.protocol.Role
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableSharedFlow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.withTimeout
import java.nio.file.Path
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

// One for all tests: each occupies a thread of the dispatcher as long as it is open.
private val selector = SelectorManager(Dispatchers.IO)
private val engine = UpstreamName("ouate-llm")
private val plain = UpstreamName("ouate-app")
val MODEL = ModelName("laine-8b")
const val SECRET = "sk-caller-secret"

/** A configuration with one key, which a test may withdraw. */
class FakeConfig : ConfigSource {
    val key = KeyId("key-1")
    private val withdrawn = mutableSetOf<KeyId>()
    override val withdrawals = MutableSharedFlow<Set<KeyId>>(extraBufferCapacity = 8)
    override val view = MutableStateFlow(SiteView(1, site, mapOf(OrganisationId("org") to Organisation())))

    override fun withdrawnKeys(): Set<KeyId> = synchronized(withdrawn) { withdrawn.toSet() }

    override fun authenticate(secret: String) =
        Caller(key, OrganisationId("org")).takeIf { secret == SECRET && key !in withdrawnKeys() }

    override fun isServingAllowed() = true

    fun withdraw() {
        synchronized(withdrawn) { withdrawn += key }
        check(withdrawals.tryEmit(setOf(key)))
    }
}

private val site =
    SiteConfig(
        classes =
            mapOf(
                ClassName("short") to ServiceClass(tier = 1, firstTokenTargetMs = 5_000),
                ClassName("long") to ServiceClass(tier = 3, firstTokenTargetMs = 20_000),
            ),
        upstreams =
            mapOf(
                engine to Upstream(UpstreamKind.MODEL_ENGINE, listOf(MODEL)),
                plain to Upstream(UpstreamKind.PLAIN_SERVICE),
            ),
        routes =
            mapOf(
                "chat" to Route("/v1/chat/completions", engine, ClassName("long")),
                "orders" to Route("/orders", plain, ClassName("short")),
                "public" to Route("/public", plain, ClassName("short"), openToAll = true),
            ),
    )

/** One entry and the agents that a test starts, all in this process. */
class Site(
    private val outcomes: OutcomeStore = NoOutcomeStore,
    private val limits: RequestLimits = RequestLimits(),
) {
    class RunningAgent(
        val agent: Agent,
        val address: String,
        private val scope: CoroutineScope,
    ) {
        /** Ends the agent without a word, as a crash does. */
        fun crash() = scope.cancel()
    }

    val config = FakeConfig()
    val client =
        HttpClient(CIO) {
            engine { requestTimeout = 0 }
        }
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val agents = mutableListOf<RunningAgent>()
    private val upstreams = mutableSetOf<FakeUpstream>()
    private val scriptedAgents = mutableListOf<String>()
    lateinit var entry: Entry
        private set
    lateinit var url: String
        private set

    suspend fun agent(
        upstream: FakeUpstream,
        plainService: Boolean = false,
        maxRunning: Int = 4,
        maxQueued: Int = 4,
        usage: UsageRecorder = NoUsage,
    ): RunningAgent {
        upstreams += upstream
        return agent(upstream.url, plainService, maxRunning, maxQueued, usage)
    }

    suspend fun agent(
        upstreamUrl: String,
        plainService: Boolean = false,
        maxRunning: Int = 4,
        maxQueued: Int = 4,
        usage: UsageRecorder = NoUsage,
    ): RunningAgent {
        val name = if (plainService) plain else engine
        val models = if (plainService) emptyList() else listOf(MODEL)
        val agentScope = CoroutineScope(SupervisorJob(scope.coroutineContext[Job]) + Dispatchers.Default)
        val settings = AgentSettings(name, upstreamUrl, models, maxRunning, maxQueued)
        val links = links("agent-${agents.size}", Role.AGENT, name, models)
        val agent =
            Agent(agentScope, settings, links, 10_000, AgentDependencies(usage, healthCheckInterval = 100.milliseconds))
        return RunningAgent(agent, agent.start("127.0.0.1:0"), agentScope).also { agents += it }
    }

    /** Starts an agent of the plain service that answers each request with the messages that [script] returns. */
    suspend fun scriptedAgent(script: (Message.Submit) -> List<Message>) {
        val links = links("scripted-${scriptedAgents.size}", Role.AGENT, plain, emptyList())
        val listener =
            scope.listenForLinks(links, "127.0.0.1:0") { link ->
                link.send(Message.Load(0, 0, 4, null, 0, 0, draining = false, configVersion = 1))
                link.incoming.collect { if (it is Message.Submit) script(it).forEach { answer -> link.send(answer) } }
            }
        scriptedAgents += listener.address
    }

    suspend fun start() {
        val settings =
            Settings(
                role = Role.ENTRY,
                instance = InstanceId("entry-1"),
                region = "r",
                dataCentre = DataCentre("casa-a"),
                addresses = SiteAddresses("127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"),
                sharedSecretFile = Path.of("unused"),
                operatorKeySha256 = "",
                platformUrl = null,
                seeds = emptyList(),
                limits = limits,
                isolationLimitMs = 600_000,
                agent = null,
                callersTls = null,
            )
        val parts =
            EntryDependencies(
                config,
                directory = { agents.map { it.address } + scriptedAgents },
                outcomes = outcomes,
                random = Random(7),
                drainNotice = 50.milliseconds,
            )
        entry = Entry(scope, settings, links("entry-1", Role.ENTRY, null, emptyList()), parts)
        url = "http://" + entry.start().callers
        eventually { entry.summary().agents.size shouldBe agents.size + scriptedAgents.size }
        // The first health probe of a cold process may time out, and until it succeeds the agent refuses.
        eventually { agents.all { it.agent.isReachable } shouldBe true }
    }

    private fun links(
        instance: String,
        role: Role,
        upstream: UpstreamName?,
        models: List<ModelName>,
    ) = LinkContext(
        LinkIdentity(InstanceId(instance), Incarnation("i-$instance"), role, DataCentre("casa-a"), upstream, models),
        "shared".toByteArray(),
        selector,
    )

    suspend fun chat(
        topic: String,
        stream: Boolean = true,
        more: HttpRequestBuilder.() -> Unit = {},
    ): HttpResponse =
        client.post("$url/v1/chat/completions") {
            header("Authorization", "Bearer $SECRET")
            contentType(ContentType.Application.Json)
            setBody(
                """{"model":"$MODEL","stream":$stream,"messages":[{"role":"user","content":"$topic"}]}""",
            )
            more()
        }

    suspend fun order(more: HttpRequestBuilder.() -> Unit = {}): HttpResponse =
        client.post("$url/orders?b=2&a=1&b=%2F3") {
            header("X-Api-Key", SECRET)
            header("Cookie", "session=1")
            setBody("bale")
            more()
        }

    suspend fun close() {
        entry.close()
        scope.cancel()
        client.close()
        upstreams.forEach { it.stop() }
    }
}

/** Repeats [check] until it passes; fails with its last failure after 10 s. */
suspend fun eventually(check: suspend () -> Unit) {
    var last: AssertionError? = null
    try {
        withTimeout(10.seconds) {
            while (true) {
                try {
                    return@withTimeout check()
                } catch (e: AssertionError) {
                    last = e
                    delay(20.milliseconds)
                }
            }
        }
    } catch (e: kotlinx.coroutines.TimeoutCancellationException) {
        throw last ?: e
    }
}
