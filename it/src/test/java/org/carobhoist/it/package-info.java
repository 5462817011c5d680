/** Integration tests with real processes of the binary, stand-ins and a fault-injecting proxy. */
package org.carobhoist.it;
