/** Parses YAML documents and reports all problems of a document with file, line and path. */
package org.skylarkbend.base.settings;
