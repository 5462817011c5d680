/** Tests of {@link org.carobhoist.server.gateway}. */
package org.carobhoist.server.gateway;
