package org.skylarkbend.gateway.link;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkbend.catalog.Catalog;
import org.skylarkbend.catalog.Endpoints;
import org.skylarkbend.catalog.SiteMessage.ColdEndpoints;
import org.skylarkbend.catalog.SiteMessage.RelaysListed;
import org.skylarkbend.catalog.SiteMessage.WorkUnderWay;
import org.skylarkbend.catalog.VersionSplit;
import org.skylarkbend.limits.LimitMessage;
import org.skylarkbend.quarantine.QuarantineNotice;

/** Receives what the link learns from control. Implementations must not block. */
public interface SiteListener {
    /** Called when a newer catalog is in force. */
    void catalogChanged(Catalog catalog);

    /** Called when the list of endpoints was received. */
    void endpointsChanged(Endpoints endpoints);

    /** Called with the endpoints that bear few calls because they have just started. */
    void coldEndpointsChanged(ColdEndpoints cold);

    /** Called when the data centres whose endpoints get no calls have changed. */
    void evacuationsChanged(Set<String> dataCentres);

    /** Called when the division of calls between versions has changed. */
    void splitsChanged(List<VersionSplit> splits);

    /** Called when newer weights were announced, with the newest version of each model. */
    void weightsNamed(Map<String, Long> versions);

    /** Called when the work of all other gateways was received. */
    void otherWorkChanged(WorkUnderWay work);

    /** Called when the watched or quarantined parts of prompts have changed. */
    void quarantineChanged(QuarantineNotice notice);

    /** Called when the gateways, or those that open connections for others, have changed. */
    void relaysListed(RelaysListed listed);

    /** Called when a message of the limit owner has arrived. */
    void limitMessageReceived(LimitMessage message);
}
