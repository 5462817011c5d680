/** At most one run of a non-idempotent request: keys, home endpoint and duplicate table. */
package org.carobhoist.core.idempotency;
