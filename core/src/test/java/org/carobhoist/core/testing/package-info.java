/** Deterministic scaffolding for the tests: time, an event queue, fault matrices, schedules. */
package org.carobhoist.core.testing;
