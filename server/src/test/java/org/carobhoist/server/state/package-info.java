/** Tests of {@link org.carobhoist.server.state}. */
package org.carobhoist.server.state;
