/** Tests of {@link org.carobhoist.server.logservice}. */
package org.carobhoist.server.logservice;
