/*
 * Cost of holding and changing the configuration as organisations grow: the state of an entry with one key for each
 * organisation, and the time to apply one change and to rebuild the key index after it.
 */
package io.teaselspring.experiment

import io.teaselspring.core.KeyId
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.config.ApiKey
import io.teaselspring.core.config.ConfigChange
import io.teaselspring.core.config.ConfigEdit
import io.teaselspring.core.config.ConfigState
import io.teaselspring.core.config.Organisation
import io.teaselspring.core.config.applying
import io.teaselspring.core.keys.KeyIndex
import io.teaselspring.core.keys.sha256Hex

/** The configuration of [organisations] with a key each, and its index. */
private class HeldConfiguration(
    organisations: Int,
) {
    val state =
        ConfigState(
            organisations = List(organisations) { OrganisationId("organisation-$it") to Organisation() }.toMap(),
            keys = List(organisations) { KeyId("k-%016x".format(it)) to key(it) }.toMap(),
        )
    val index = KeyIndex(state.keys)
}

private fun key(number: Int) =
    ApiKey(OrganisationId("organisation-$number"), sha256Hex("secret-$number"), createdAtMs = number.toLong())

/** Bytes of heap that the configuration and its index take. */
internal fun configurationBytes(organisations: Int): Double = heapBytes { HeldConfiguration(organisations) }

/** Microseconds to apply a change of one key and to rebuild the index. */
internal fun configurationChangeUs(organisations: Int): Double {
    val held = HeldConfiguration(organisations)
    return microseconds(calls = 20) { number ->
        val edit = ConfigEdit.PutKey(KeyId("new-$number"), key(number))
        val changed = held.state.applying(ConfigChange(1, "change-$number", "operator", 0, listOf(edit)))
        check(KeyIndex(changed.keys).find("secret-$number") != null)
    }
}
