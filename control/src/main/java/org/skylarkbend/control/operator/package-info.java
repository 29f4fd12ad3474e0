/** The HTTP API for operators. */
package org.skylarkbend.control.operator;
