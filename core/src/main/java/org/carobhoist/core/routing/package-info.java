/** Selection of the endpoint for a request or a sample. */
package org.carobhoist.core.routing;
