/** Rollouts: steps, samples, delivery cursors, staleness bounds and scheduling. */
package org.carobhoist.core.rollout;
