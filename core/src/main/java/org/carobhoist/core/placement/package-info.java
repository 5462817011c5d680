/** Which engine runs an item of a job, by way of which process, and what becomes of its text. */
package org.carobhoist.core.placement;
