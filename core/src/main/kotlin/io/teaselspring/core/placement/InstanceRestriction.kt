/*
 * The instances of an upstream that a request may be sent to.
 */
package io.teaselspring.core.placement

import io.teaselspring.core.DataCentre
import io.teaselspring.core.routing.allows

/**
 * Unless null, [dataCentres] are the only ones that a request may reach, and [version] is the software version that
 * has begun its stream: no other one continues it. With [onlyRecorded] the request begins a stream that may be
 * continued later, which only versions do that the entries have recorded.
 */
public data class InstanceRestriction(
    val dataCentres: Set<DataCentre>? = null,
    val version: String? = null,
    val onlyRecorded: Boolean = false,
) {
    /** Whether an instance of [instanceVersion], null if unknown, in [dataCentre] may be used. */
    public fun allows(
        dataCentre: DataCentre?,
        instanceVersion: String?,
        isRecorded: Boolean,
    ): Boolean =
        dataCentres.allows(dataCentre) &&
            (version == null || version == instanceVersion) &&
            (!onlyRecorded || isRecorded)

    public companion object {
        /** Allows all instances. */
        public val NONE: InstanceRestriction = InstanceRestriction()
    }
}
