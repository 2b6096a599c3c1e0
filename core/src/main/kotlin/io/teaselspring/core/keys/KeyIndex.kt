/*
 * Authentication of callers. A presented secret is looked up by its SHA-256, so neither memory nor the store holds
 * secrets and the lookup time does not depend on how much of a guess is right.
 */
package io.teaselspring.core.keys

import io.teaselspring.core.KeyId
import io.teaselspring.core.config.ApiKey
import java.security.MessageDigest

/** Prefix of all secrets, by which leaked ones can be searched for. */
public const val SECRET_PREFIX: String = "tsk_"

/** The SHA-256 of [secret] as 64 lower-case hexadecimal digits. */
public fun sha256Hex(secret: String): String =
    MessageDigest
        .getInstance("SHA-256")
        .digest(secret.toByteArray())
        .joinToString("") { "%02x".format(it) }

/** An immutable index of the usable keys by the hash of their secret. */
public class KeyIndex(
    keys: Map<KeyId, ApiKey>,
) {
    private val bySecret: Map<String, Pair<KeyId, ApiKey>> =
        keys.entries
            .filter { it.value.withdrawnAtMs == null }
            .associate { (id, key) -> key.secretSha256 to (id to key) }

    /** The usable key with this secret, or null. */
    public fun find(secret: String): Pair<KeyId, ApiKey>? = bySecret[sha256Hex(secret)]
}
