/** Reward calls: requests that score an item's complete text before its result is listed. */
package org.carobhoist.core.reward;
