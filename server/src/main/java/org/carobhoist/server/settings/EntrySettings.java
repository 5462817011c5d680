package org.carobhoist.server.settings;

/**
 * Settings of an entry.
 *
 * @param instance what every role has
 */
public record EntrySettings(InstanceSettings instance) {}
