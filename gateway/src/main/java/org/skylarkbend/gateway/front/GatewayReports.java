package org.skylarkbend.gateway.front;

import java.util.function.Consumer;
import org.skylarkbend.catalog.SiteMessage.WorkUnderWay;
import org.skylarkbend.moves.rollout.RolloutOutcomes;

/**
 * Receivers of the periodic reports of a gateway, called on the context of its task.
 *
 * @param onWork receives the work in flight at endpoints
 * @param onOutcomes receives the outcomes of calls during a rollout
 */
public record GatewayReports(Consumer<WorkUnderWay> onWork, Consumer<RolloutOutcomes> onOutcomes) {}
