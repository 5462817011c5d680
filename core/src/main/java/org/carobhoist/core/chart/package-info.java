/** Finite state machines that are loaded from resource files, validated and interpreted. */
package org.carobhoist.core.chart;
