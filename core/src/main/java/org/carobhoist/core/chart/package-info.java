/** State charts read from resource files, checked when loaded, and interpreted. */
package org.carobhoist.core.chart;
