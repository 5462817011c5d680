package org.carobhoist.server.settings;

/**
 * Settings of an entry.
 *
 * @param instance settings common to all roles
 */
public record EntrySettings(InstanceSettings instance) {}
