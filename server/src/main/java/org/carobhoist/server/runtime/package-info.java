/** What every role runs on: services, the decision loop and the system's clock. */
package org.carobhoist.server.runtime;
