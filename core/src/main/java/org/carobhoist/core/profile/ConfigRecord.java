package org.carobhoist.core.profile;

/** A record in the configuration log. */
public sealed interface ConfigRecord
    permits ProfileChange, ProfileSnapshot, OpaqueRecord, UnreadableRecord {}
