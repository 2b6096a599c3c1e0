/*
 * What the request path of an entry reads from the configuration. The control loops keep it up to date.
 */
package io.teaselspring.daemon.config

import io.teaselspring.core.KeyId
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.config.Organisation
import io.teaselspring.core.config.SiteConfig
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.StateFlow

/** The configuration in force in this data centre. */
data class SiteView(
    val version: Long,
    val site: SiteConfig,
    val organisations: Map<OrganisationId, Organisation>,
)

/** The organisation that a presented key belongs to. */
data class Caller(
    val keyId: KeyId,
    val organisation: OrganisationId,
)

/** Read access to the configuration. */
interface ConfigSource {
    /** The view in force; a new value for each applied version. */
    val view: StateFlow<SiteView>

    /** Key ids withdrawn since this process started, each set emitted once, as soon as it is known. */
    val withdrawals: Flow<Set<KeyId>>

    /** All key ids known to be withdrawn recently enough that a running request may carry them. */
    fun withdrawnKeys(): Set<KeyId>

    /** The caller whose key has this secret, or null if the key is unknown or withdrawn. */
    fun authenticate(secret: String): Caller?

    /** False when this process has had no contact with the store or a peer for longer than the isolation limit. */
    fun isServingAllowed(): Boolean
}
