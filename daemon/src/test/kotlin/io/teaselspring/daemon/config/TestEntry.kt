package io.teaselspring.daemon.config

import io.teaselspring.core.DataCentre
import io.teaselspring.daemon.control.FakePlatform
import io.teaselspring.daemon.keys.KeyService
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant
import kotlin.time.TestTimeSource

/** The configuration side of one entry over a fake platform, on a clock that stands still unless moved. */
class TestEntry(
    val platform: FakePlatform,
    val time: TestTimeSource = TestTimeSource(),
    seed: Int = 1,
) {
    private val clock =
        object : Clock {
            private val start = time.markNow()

            override fun now(): Instant = Instant.fromEpochMilliseconds(1_000_000) + start.elapsedNow()
        }
    val holder = ConfigHolder(DataCentre("oviedo"), clock, time, 10.minutes)
    val table = ConfigTable(platform.platform.table, platform.platform.objects)
    val sync = ConfigSync(table, holder)
    val acceptor = ConfigAcceptor(table, sync, holder, clock, Random(seed))
    val keys = KeyService(acceptor, sync, holder, clock)
    val exchange = ConfigExchange(holder, time)
}
