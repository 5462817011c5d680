/** Tests of the choice of endpoints. */
package org.carobhoist.core.routing;
