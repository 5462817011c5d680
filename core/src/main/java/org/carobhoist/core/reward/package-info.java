/** Reward calls: requests that score an item's complete text before its result is published. */
package org.carobhoist.core.reward;
