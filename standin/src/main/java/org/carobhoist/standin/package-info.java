/** Small stand-ins for the outside systems, for tests and the demo; no role uses them. */
package org.carobhoist.standin;
