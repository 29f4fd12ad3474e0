package org.skylarkbend.standin.platform;

import java.util.List;

/** The platform's list of VMs and endpoints. The generation is incremented by every change. */
public record PlatformList(long generation, List<ListedVm> vms, List<ListedEndpoint> endpoints) {
    /** Copies the lists. */
    public PlatformList {
        vms = List.copyOf(vms);
        endpoints = List.copyOf(endpoints);
    }
}
