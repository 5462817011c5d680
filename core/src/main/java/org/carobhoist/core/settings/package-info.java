/** Typed reading of INI documents with exact error reports. */
package org.carobhoist.core.settings;
