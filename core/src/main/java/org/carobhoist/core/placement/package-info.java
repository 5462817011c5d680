/** Placement of job items on engines through runner processes, and reuse of generated texts. */
package org.carobhoist.core.placement;
