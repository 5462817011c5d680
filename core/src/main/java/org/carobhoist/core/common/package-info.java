/** Value types that every feature uses: ids, verdicts, priorities and clocks. */
package org.carobhoist.core.common;
