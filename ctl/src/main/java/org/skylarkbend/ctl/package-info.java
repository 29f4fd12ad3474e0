/** Command-line client for operators. */
package org.skylarkbend.ctl;
