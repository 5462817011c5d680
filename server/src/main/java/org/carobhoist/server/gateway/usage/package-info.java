/**
 * The usage reports of a gateway: counting, messages, the stored form, and the calls to the
 * platform's API.
 */
package org.carobhoist.server.gateway.usage;
