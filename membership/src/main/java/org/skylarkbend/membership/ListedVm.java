package org.skylarkbend.membership;

import org.skylarkbend.base.ObjectName;

/**
 * A VM as listed by the platform.
 *
 * @param vm its name
 * @param host its IP address
 * @param port the port of its router for other VMs
 * @param dataCentre its data centre
 * @param leaving true if the platform is about to stop it
 */
public record ListedVm(
        ObjectName vm, String host, int port, ObjectName dataCentre, boolean leaving) {}
