/** The router process, which serves callers on every VM that accepts them. */
package org.skylarkbend.router;
