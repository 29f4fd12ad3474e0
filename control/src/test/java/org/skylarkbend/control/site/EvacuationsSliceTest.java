package org.skylarkbend.control.site;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.Counter;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.skylarkbend.control.log.ControlEntry;
import org.skylarkbend.control.log.ControlStateMachine;
import org.testng.annotations.Test;

/** Tests the evacuated data centres as replicated state. */
public class EvacuationsSliceTest {
    private final List<Set<String>> mChanges = new ArrayList<>();
    private final EvacuationsSlice mSlice = new EvacuationsSlice(mChanges::add);
    private final ControlStateMachine mState =
            new ControlStateMachine(List.of(mSlice), new Counter());

    @Test
    public void anOrderThatIsRepeatedOrLateChangesNothing() {
        EvacuationsSlice slice = new EvacuationsSlice(mChanges::add);
        mChanges.clear();
        slice.apply(EvacuationsSlice.encodeEvacuated("nord"), 0);
        slice.apply(EvacuationsSlice.encodeEvacuated("nord"), 0);
        slice.apply(EvacuationsSlice.encodeWithdrawn("sud"), 0);
        slice.apply(EvacuationsSlice.encodeWithdrawn("nord"), 0);
        assertThat(mChanges).containsExactly(Set.of("nord"), Set.of());
    }

    @Test
    public void anEntryThatCannotBeReadIsRejectedAndChangesNothing() {
        assertThat(mSlice.apply(new byte[] {1, 2, 3}, 0).isSuccess()).isFalse();
        assertThat(mSlice.isInitial()).isTrue();
    }

    /** Guards against a member of an earlier version that cannot restore a snapshot. */
    @Test
    public void aSnapshotHasTheSliceOnlyWhileADataCentreIsEvacuated() {
        ControlStateMachine earlierVersion = new ControlStateMachine(List.of(), new Counter());
        earlierVersion.restore(mState.snapshot());
        apply(EvacuationsSlice.encodeEvacuated("nord"));
        apply(EvacuationsSlice.encodeWithdrawn("nord"));
        earlierVersion.restore(mState.snapshot());
    }

    @Test
    public void aSnapshotReplacesTheEvacuationsAlsoIfItHasNone() {
        byte[] none = mState.snapshot();
        apply(EvacuationsSlice.encodeEvacuated("nord"));
        byte[] one = mState.snapshot();
        apply(EvacuationsSlice.encodeEvacuated("sud"));
        mChanges.clear();
        mState.restore(one);
        mState.restore(none);
        assertThat(mChanges).containsExactly(Set.of("nord"), Set.of());
    }

    private void apply(byte[] change) {
        mState.apply(new ControlEntry(EvacuationsSlice.NAME, 0, change).toBytes());
    }
}
