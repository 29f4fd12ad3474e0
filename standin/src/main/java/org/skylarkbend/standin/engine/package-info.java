/**
 * A fake of a model engine with a prefix cache, a request queue, streamed answers, orders, cache
 * events and fault injection.
 */
package org.skylarkbend.standin.engine;
