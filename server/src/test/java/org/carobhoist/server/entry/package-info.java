/** Tests of {@link org.carobhoist.server.entry}. */
package org.carobhoist.server.entry;
