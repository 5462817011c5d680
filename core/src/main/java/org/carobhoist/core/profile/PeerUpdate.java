package org.carobhoist.core.profile;

import java.util.List;
import java.util.Optional;

/**
 * Configuration records or a snapshot sent by a peer.
 *
 * @param first offset of the first record that the update covers
 * @param next offset that follows the last one that the peer has applied
 * @param items all records from {@code first} up to but excluding {@code next}; empty if there is a
 *     snapshot
 * @param snapshot the peer's complete configuration, if its buffered records don't reach back far
 *     enough
 */
public record PeerUpdate(
    long first, long next, List<LogItem> items, Optional<ProfileSnapshot> snapshot) {}
