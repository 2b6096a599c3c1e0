/*
 * Fakes of the outside systems: a model engine with continuous batching and a prefix cache, and a plain service. They
 * know nothing of classes or organisations.
 */
package io.teaselspring.experiment

import io.teaselspring.core.admission.AttemptId

/** What a fake does with an attempt that it was given. */
class Work(
    val id: AttemptId,
    val job: Job,
    val resumeOffset: Int,
)

/** Called for each token, with whether it was the last one; a plain call reports only its end. */
typealias OnProgress = (id: AttemptId, tokens: Int, last: Boolean) -> Unit

/** An upstream that runs what it is given. */
interface FakeUpstream {
    /** Relative speed; 1.0 is healthy. */
    var speed: Double

    /** Work done so far in token equivalents, prompts included. */
    val doneTokens: Double

    fun start(work: Work)

    fun stop(id: AttemptId)

    fun stopAll()
}

/**
 * All running streams get one token per iteration. An iteration takes longer the more streams there are, and the
 * prompts of new streams are read in it; a prompt whose prefix is in the cache costs a fifth.
 */
class FakeEngine(
    private val loop: EventLoop,
    private val onProgress: OnProgress,
) : FakeUpstream {
    private class Stream(
        val work: Work,
        var produced: Int,
        var promptTokens: Double,
    )

    private val streams = LinkedHashMap<AttemptId, Stream>()
    private val cache = LinkedHashMap<Long, Unit>()
    private var iterating = false
    override var speed = 1.0
    override var doneTokens = 0.0
        private set

    override fun start(work: Work) {
        val cached = cache.remove(work.job.prefix) != null
        cache[work.job.prefix] = Unit
        if (cache.size > CACHED_PREFIXES) cache.remove(cache.keys.first())
        val prompt = work.job.profile.promptTokens * if (cached) CACHED_COST else 1.0
        streams[work.id] = Stream(work, work.resumeOffset, prompt + work.resumeOffset)
        if (!iterating) iterate()
    }

    override fun stop(id: AttemptId) {
        streams.remove(id)
    }

    override fun stopAll() = streams.clear()

    private fun iterate() {
        iterating = streams.isNotEmpty()
        if (!iterating) return
        var durationMs = ITERATION_MS
        for (stream in streams.values) {
            durationMs += STREAM_MS + stream.promptTokens * PROMPT_TOKEN_MS
            doneTokens += 1 + stream.promptTokens * PROMPT_TOKEN_SHARE
            stream.promptTokens = 0.0
        }
        val batch = streams.values.toList()
        loop.after((durationMs * 1000 / speed).toLong()) { finishIteration(batch) }
    }

    private fun finishIteration(batch: List<Stream>) {
        for (stream in batch) {
            if (streams[stream.work.id] !== stream) continue
            stream.produced += 1
            val last = stream.produced >= stream.work.job.tokens
            if (last) streams.remove(stream.work.id)
            onProgress(stream.work.id, 1, last)
        }
        iterate()
    }

    companion object {
        const val ITERATION_MS = 12.0
        const val STREAM_MS = 0.6
        const val PROMPT_TOKEN_MS = 0.03

        /** Cost of reading a prompt token relative to producing a token in a full batch. */
        const val PROMPT_TOKEN_SHARE = 0.03
        const val CACHED_COST = 0.2
        const val CACHED_PREFIXES = 24
    }
}

/** Runs each call for its own time, whatever else runs. */
class FakeService(
    private val loop: EventLoop,
    private val onProgress: OnProgress,
) : FakeUpstream {
    private val calls = HashMap<AttemptId, Work>()
    override var speed = 1.0
    override val doneTokens = 0.0

    override fun start(work: Work) {
        calls[work.id] = work
        loop.after((work.job.serviceMs * 1000 / speed).toLong()) {
            if (calls.remove(work.id, work)) onProgress(work.id, 0, true)
        }
    }

    override fun stop(id: AttemptId) {
        calls.remove(id)
    }

    override fun stopAll() = calls.clear()
}
