package org.carobhoist.core.profile;

import java.util.List;
import java.util.Optional;

/**
 * What a peer knows beyond an offset.
 *
 * @param first offset from which on the items are complete
 * @param next offset after the last one that the peer has applied
 * @param items every record from {@code first} to before {@code next}; empty with a snapshot
 * @param snapshot the peer's whole configuration, where its records don't reach back far enough
 */
public record PeerUpdate(
    long first, long next, List<LogItem> items, Optional<ProfileSnapshot> snapshot) {}
