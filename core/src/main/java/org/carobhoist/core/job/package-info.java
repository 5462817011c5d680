/** Batch jobs: their content, their records in the store, and their results. */
package org.carobhoist.core.job;
