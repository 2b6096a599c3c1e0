/*
 * API key authentication. A presented secret is looked up by its SHA-256, so neither memory nor the store holds
 * secrets, and the lookup time does not reveal how much of a guess is right (timing attack).
 */
package io.teaselspring.core.keys

import io.teaselspring.core.KeyId
import io.teaselspring.core.config.ApiKey
import java.security.MessageDigest

/** Prefix of all secrets, by which secret scanners find leaked ones. */
public const val SECRET_PREFIX: String = "tsk_"

/** The SHA-256 of [secret] as 64 lower-case hexadecimal digits. */
public fun sha256Hex(secret: String): String =
    MessageDigest
        .getInstance("SHA-256")
        .digest(secret.toByteArray())
        .joinToString("") { "%02x".format(it) }

/** An immutable index of the keys that are not withdrawn, by the hash of their secret. */
public class KeyIndex(
    keys: Map<KeyId, ApiKey>,
) {
    private val bySecretHash: Map<String, Pair<KeyId, ApiKey>> =
        keys.entries
            .filter { it.value.withdrawnAtMs == null }
            .associate { (id, key) -> key.secretSha256 to (id to key) }

    /** The key with [secret], or null if there is none or it is withdrawn. */
    public fun find(secret: String): Pair<KeyId, ApiKey>? = bySecretHash[sha256Hex(secret)]
}
