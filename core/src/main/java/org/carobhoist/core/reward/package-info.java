/** Reward calls: the requests that score an item's whole text before its result is listed. */
package org.carobhoist.core.reward;
