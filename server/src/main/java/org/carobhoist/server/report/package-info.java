/** Plots of what a day's logs say. */
package org.carobhoist.server.report;
