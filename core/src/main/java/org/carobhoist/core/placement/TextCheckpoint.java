package org.carobhoist.core.placement;

/**
 * The text that a running item has so far, as kept in the store.
 *
 * @param key the item
 * @param text the events from the first one on
 */
public record TextCheckpoint(ItemKey key, TextDelta text) {}
