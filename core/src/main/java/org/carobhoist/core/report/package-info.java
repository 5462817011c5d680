/** Analysis of logs: the duration of each training step and a breakdown of lost time. */
package org.carobhoist.core.report;
