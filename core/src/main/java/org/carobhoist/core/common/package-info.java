/** Types shared by all features: ids, verdicts, priorities, clocks and backoff. */
package org.carobhoist.core.common;
