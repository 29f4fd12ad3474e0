package org.skylarkbend.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the wire encoding of limit messages. */
public class LimitCodecTest {
    private final LimitCodec mCodec = new LimitCodec();

    @DataProvider
    private Object[] messages() {
        ObjectName customer = ObjectName.of("atelier");
        return List.of(
                        new LimitMessage.TermBegan(3),
                        new LimitMessage.Report(
                                3,
                                9,
                                true,
                                List.of(
                                        new LimitMessage.ReportEntry(
                                                customer, 1, 2, 3, 4, 5, 6, 7, true))),
                        new LimitMessage.Grants(
                                3, 9, List.of(new LimitMessage.GrantEntry(customer, 70_000, true))))
                .toArray();
    }

    @Test(dataProvider = "messages")
    public void aMessageIsReadAsItWasWritten(LimitMessage message) {
        assertThat(mCodec.decode(mCodec.encode(message))).isEqualTo(Result.success(message));
    }

    @Test(dataProvider = "messages")
    public void aMessageCutShortIsRefused(LimitMessage message) {
        byte[] whole = mCodec.encode(message);
        for (int lengthBytes = 0; lengthBytes < whole.length; lengthBytes++) {
            byte[] cut = Arrays.copyOf(whole, lengthBytes);
            assertThat(mCodec.decode(cut).isSuccess()).isFalse();
        }
    }
}
