/** Integration tests: real processes of the binary, stand-ins, and the fault-injecting proxy. */
package org.carobhoist.it;
