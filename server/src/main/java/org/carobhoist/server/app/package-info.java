/** The command line: one class for each subcommand. */
package org.carobhoist.server.app;
