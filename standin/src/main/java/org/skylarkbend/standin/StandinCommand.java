package org.skylarkbend.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;

/** A subcommand of the program. */
@FunctionalInterface
interface StandinCommand {
    /** Starts the subcommand. The program exits with an error if the future fails. */
    Future<?> run(Vertx vertx);
}
