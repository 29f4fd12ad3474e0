/** The control process: startup and the wiring of its tasks. */
package org.skylarkbend.control;
