/** The settings of a control process. */
package org.skylarkbend.control.settings;
