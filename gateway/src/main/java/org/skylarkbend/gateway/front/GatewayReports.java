package org.skylarkbend.gateway.front;

import java.util.function.Consumer;
import org.skylarkbend.catalog.SiteMessage.RelayOffered;
import org.skylarkbend.catalog.SiteMessage.WorkUnderWay;
import org.skylarkbend.moves.rollout.RolloutOutcomes;
import org.skylarkbend.quarantine.CrashEvidence;

/**
 * Receivers of the periodic reports of a gateway, called on the context of its task.
 *
 * @param onWork receives the work in flight at endpoints
 * @param onOutcomes receives the outcomes of calls during a rollout
 * @param onCrashes receives the evidence about crashes of engines
 * @param onRelayOffer receives the offers to open connections for other gateways
 */
public record GatewayReports(
        Consumer<WorkUnderWay> onWork,
        Consumer<RolloutOutcomes> onOutcomes,
        Consumer<CrashEvidence> onCrashes,
        Consumer<RelayOffered> onRelayOffer) {}
