/** Tests of endpoint selection. */
package org.carobhoist.core.routing;
