package org.skylarkbend.gateway.link;

import java.util.Map;
import org.skylarkbend.catalog.Catalog;
import org.skylarkbend.catalog.EndpointWork;
import org.skylarkbend.catalog.SiteMessage.Endpoints;
import org.skylarkbend.limits.LimitMessage;

/** Who is told what the link learns. The methods return at once. */
public interface SiteListener {
    /** A newer catalog is in force. */
    void catalogChanged(Catalog catalog);

    /** The endpoints have changed. */
    void endpointsChanged(Endpoints endpoints);

    /** Newer weights were named. */
    void weightsNamed(Map<String, Long> versions);

    /** The other gateways have this under way at endpoints. */
    void othersHave(Map<String, EndpointWork> work);

    /** The owner of the limits said something. */
    void limitOwnerSaid(LimitMessage message);
}
