package org.skylarkbend.gateway.call;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/** Tests for {@link RetryAfterHeader}. */
public class RetryAfterHeaderTest {
    @Test
    public void secondsMayHaveAFraction() {
        assertThat(RetryAfterHeader.parseMilliseconds("2")).hasValue(2_000);
        assertThat(RetryAfterHeader.parseMilliseconds(" 0.25 ")).hasValue(250);
        assertThat(RetryAfterHeader.parseMilliseconds(RetryAfterHeader.format(1_234)))
                .hasValue(1_234);
    }

    @Test
    public void otherFormsAreNotUnderstood() {
        for (String value :
                new String[] {
                    null, "", "soon", "-1", "1e9", "99999999", "Sat, 05 Dec 2026 12:00:00 GMT"
                }) {
            assertThat(RetryAfterHeader.parseMilliseconds(value)).as("%s", value).isEmpty();
        }
    }
}
