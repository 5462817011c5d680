/** Tests of {@link org.carobhoist.server.link}. */
package org.carobhoist.server.link;
