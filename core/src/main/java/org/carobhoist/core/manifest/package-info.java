/** What operators publish for an installation: routes, services and limits. */
package org.carobhoist.core.manifest;
