package org.skylarkbend.control.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.wire.TlsFiles;

/**
 * The settings of a control process.
 *
 * @param vm the VM on which the process runs; must be the name of one of the members
 * @param dataCentre the data centre of the VM
 * @param dataFolder the folder on persistent storage that holds the replicated state
 * @param members all control VMs, including this one
 * @param operators the operators that may use the operator API
 * @param servingLeaseMilliseconds the time for which a router may serve after it sent its last
 *     confirmed heartbeat
 * @param maxSetBytes the maximum size of a published set
 * @param tls the TLS key files for connections between processes, if configured
 * @param plainTcp true if connections to other VMs may be made without TLS
 * @param traceCollector the OTLP address of the trace collector, if configured
 */
public record ControlSettings(
        ObjectName vm,
        ObjectName dataCentre,
        Path dataFolder,
        List<ControlVm> members,
        List<OperatorCredential> operators,
        long servingLeaseMilliseconds,
        int maxSetBytes,
        Optional<TlsFiles> tls,
        boolean plainTcp,
        Optional<String> traceCollector) {
    /** Copies the lists. */
    public ControlSettings {
        members = List.copyOf(members);
        operators = List.copyOf(operators);
    }

    /** Returns the addresses of this VM. */
    public ControlVm self() {
        return find(vm).orElseThrow();
    }

    /** Returns the addresses of a control VM, or empty if it is not a member. */
    public Optional<ControlVm> find(ObjectName member) {
        return members.stream().filter(address -> address.vm().equals(member)).findFirst();
    }
}
