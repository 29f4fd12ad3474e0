/** Explains the outcome of a call from log lines: decisions only, without files or formatting. */
package org.skylarkbend.explain;
