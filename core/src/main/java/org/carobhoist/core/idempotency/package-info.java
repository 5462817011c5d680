/**
 * At-most-once execution of non-idempotent requests: keys, home sidecars and duplicate detection.
 */
package org.carobhoist.core.idempotency;
