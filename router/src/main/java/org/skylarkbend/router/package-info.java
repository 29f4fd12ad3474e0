/** The router process, which serves callers on every entry VM. */
package org.skylarkbend.router;
