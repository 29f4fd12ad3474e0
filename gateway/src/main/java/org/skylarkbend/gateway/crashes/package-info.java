/** Detects endpoints that crash, and keeps calls away that would crash more of them. */
package org.skylarkbend.gateway.crashes;
