/** Tests of {@link org.carobhoist.server.demo}. */
package org.carobhoist.server.demo;
