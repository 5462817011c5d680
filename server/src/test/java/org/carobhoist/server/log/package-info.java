/** Tests of {@link org.carobhoist.server.log}. */
package org.carobhoist.server.log;
