/** The settings of a process, read from its INI file. */
package org.carobhoist.server.settings;
