/** Small stand-ins for external systems, for tests and the demo; not used in production. */
package org.carobhoist.standin;
