/** Tests of {@link org.carobhoist.server.app}. */
package org.carobhoist.server.app;
