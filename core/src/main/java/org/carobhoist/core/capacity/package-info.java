/** Estimates of the load that each endpoint handles well, and the choice between endpoints. */
package org.carobhoist.core.capacity;
