/** Batch jobs: what they are made of, what lies in the store of them, and what callers may read. */
package org.carobhoist.core.job;
