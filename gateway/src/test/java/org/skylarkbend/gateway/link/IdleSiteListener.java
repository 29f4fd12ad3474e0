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

/** Does nothing with what control sends. */
class IdleSiteListener implements SiteListener {
    @Override
    public void catalogChanged(Catalog catalog) {}

    @Override
    public void endpointsChanged(Endpoints endpoints) {}

    @Override
    public void coldEndpointsChanged(ColdEndpoints cold) {}

    @Override
    public void evacuationsChanged(Set<String> dataCentres) {}

    @Override
    public void relaysListed(RelaysListed listed) {}

    @Override
    public void splitsChanged(List<VersionSplit> splits) {}

    @Override
    public void weightsNamed(Map<String, Long> versions) {}

    @Override
    public void otherWorkChanged(WorkUnderWay work) {}

    @Override
    public void quarantineChanged(QuarantineNotice notice) {}

    @Override
    public void limitMessageReceived(LimitMessage message) {}
}
