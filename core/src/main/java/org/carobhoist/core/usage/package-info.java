/** Counts of requests by account and window, and the reports of them to the platform. */
package org.carobhoist.core.usage;
