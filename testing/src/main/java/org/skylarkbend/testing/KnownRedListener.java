package org.skylarkbend.testing;

import org.testng.IInvokedMethod;
import org.testng.IInvokedMethodListener;
import org.testng.ITestResult;

/**
 * Tolerates the failures of tests that are listed in {@code KNOWN-RED.txt}.
 *
 * <p>A listed test still runs. Its failure is printed and counts as passed. Its success counts as a
 * failure, because the entry must then be removed; if the entry is marked as intermittent, the
 * success is printed and counts as passed. TestNG loads this class as a service.
 */
public final class KnownRedListener implements IInvokedMethodListener {
    private final KnownRedList mKnownRed;

    /** Creates a listener for the list of this checkout. */
    public KnownRedListener() {
        this(KnownRedList.load());
    }

    KnownRedListener(KnownRedList knownRed) {
        mKnownRed = knownRed;
    }

    @Override
    public void afterInvocation(IInvokedMethod method, ITestResult result) {
        String test = method.getTestMethod().getQualifiedName();
        int lastDot = test.lastIndexOf('.');
        String name = test.substring(0, lastDot) + "#" + test.substring(lastDot + 1);
        if (!method.isTestMethod() || !mKnownRed.contains(name)) {
            return;
        }
        if (result.getStatus() == ITestResult.FAILURE) {
            System.out.println("KNOWN-RED still fails: " + mKnownRed.line(name));
            System.out.println("KNOWN-RED cause: " + result.getThrowable());
            result.setStatus(ITestResult.SUCCESS);
            result.setThrowable(null);
        } else if (result.getStatus() == ITestResult.SUCCESS && mKnownRed.isIntermittent(name)) {
            System.out.println("KNOWN-RED passed this time: " + mKnownRed.line(name));
        } else if (result.getStatus() == ITestResult.SUCCESS) {
            result.setStatus(ITestResult.FAILURE);
            result.setThrowable(
                    new AssertionError(name + " passes: remove its entry from KNOWN-RED.txt"));
        }
    }
}
