/** Tests of {@link org.carobhoist.server.settings}. */
package org.carobhoist.server.settings;
