/** Deterministic test utilities: a clock, an event queue, fault matrices and random schedules. */
package org.carobhoist.core.testing;
