/** Tests of the platform's clients. */
package org.carobhoist.server.logservice;
