package org.carobhoist.core.profile;

/** A record of the configuration's log. */
public sealed interface ConfigRecord
    permits ProfileChange, ProfileSnapshot, ForeignRecord, UnreadableRecord {}
