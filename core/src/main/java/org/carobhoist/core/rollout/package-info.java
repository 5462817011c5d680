/** Steps, samples, cursors, staleness and the schedule of rollouts. */
package org.carobhoist.core.rollout;
