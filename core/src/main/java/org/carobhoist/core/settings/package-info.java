/** Typed, validated reading of INI documents with precise error messages. */
package org.carobhoist.core.settings;
