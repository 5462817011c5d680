/** Numbered log events. */
package org.carobhoist.server.log;
