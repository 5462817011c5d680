/** The entry role where the platform keeps what must last and calls engines and services. */
package org.carobhoist.server.gateway;
