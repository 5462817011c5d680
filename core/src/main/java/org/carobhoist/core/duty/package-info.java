/** Calls to the platform that only the holder of the coordinator's lease may make. */
package org.carobhoist.core.duty;
