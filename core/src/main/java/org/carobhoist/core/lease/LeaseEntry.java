package org.carobhoist.core.lease;

import java.util.Optional;
import org.carobhoist.core.common.Incarnation;
import org.carobhoist.core.common.InstanceId;

/**
 * A record of the lease.
 *
 * @param holder the instance that wrote it
 * @param incarnation its run; after a restart the same instance holds nothing
 * @param term the term that the record renews; 0 in the record that begins one
 * @param released whether the holder gives the lease up with this record
 * @param heir the instance that should take over, if the holder names one
 */
public record LeaseEntry(
    InstanceId holder,
    Incarnation incarnation,
    long term,
    boolean released,
    Optional<InstanceId> heir) {}
