/** Charts of data extracted from log files. */
package org.carobhoist.server.report;
