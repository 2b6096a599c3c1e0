/*
 * Identifiers shared by all modules. Each is a value class over a string, so that the compiler rejects an organisation
 * where a class or an instance is expected. They serialize as plain strings.
 */
package io.teaselspring.core

import kotlinx.serialization.Serializable

/** Name of a data centre; "site" in other names means the same. */
@Serializable
@JvmInline
public value class DataCentre(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Name of a region, a group of data centres. */
@Serializable
@JvmInline
public value class Region(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifier of one instance in the platform. */
@Serializable
@JvmInline
public value class InstanceId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifier of one run of a process; a restarted process has a new one. */
@Serializable
@JvmInline
public value class Incarnation(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Name of an organisation. */
@Serializable
@JvmInline
public value class OrganisationId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Public identifier of an API key; never the secret. */
@Serializable
@JvmInline
public value class KeyId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Name of a service class. */
@Serializable
@JvmInline
public value class ClassName(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Name of a configured upstream, which runs on one or more instances. */
@Serializable
@JvmInline
public value class UpstreamName(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Name of a language model. */
@Serializable
@JvmInline
public value class ModelName(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifier of a caller's request, the same for all attempts. */
@Serializable
@JvmInline
public value class RequestId(
    public val value: String,
) {
    override fun toString(): String = value
}
