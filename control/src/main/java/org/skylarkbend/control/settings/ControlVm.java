package org.skylarkbend.control.settings;

import org.skylarkbend.base.ObjectName;

/**
 * The addresses of a control VM.
 *
 * @param vm the name of the VM
 * @param host its IP address
 * @param agreementPort the port for other control VMs
 * @param feedPort the port for routers
 * @param operatorPort the HTTP port for operators
 */
public record ControlVm(
        ObjectName vm, String host, int agreementPort, int feedPort, int operatorPort) {}
