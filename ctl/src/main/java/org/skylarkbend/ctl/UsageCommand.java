package org.skylarkbend.ctl;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** The command {@code skylarkctl usage [forecast]}, which shows spend and grants or a forecast. */
public final class UsageCommand extends ControlOptions implements CtlCommand {
    /** Subject of the output. */
    public enum Subject {
        /** Spend of a month. */
        STATEMENT,
        /** Expected spend of the next month. */
        FORECAST
    }

    @Argument(metaVar = "forecast", usage = "show the forecast for the next month")
    private Subject mSubject = Subject.STATEMENT;

    @Option(
            name = "--month",
            metaVar = "YYYY-MM",
            usage = "month in UTC; default: the current month")
    private String mMonth;

    @Option(name = "--csv", usage = "print CSV")
    private boolean mCsv;

    @Option(name = "--html", usage = "print a self-contained HTML page with plots")
    private boolean mHtml;

    /** Creates the command; args4j sets its options and arguments. */
    public UsageCommand() {}

    @Override
    public ExitCode run(CtlEnvironment environment) {
        if (mSubject == Subject.FORECAST) {
            return show(environment, "/v1/usage/forecast", this::forecast);
        }
        if (mMonth != null && !mMonth.matches("[0-9]{4}-(0[1-9]|1[0-2])")) {
            environment
                    .err()
                    .println("skylarkctl: --month must have the form YYYY-MM, for example 2026-12");
            return ExitCode.USAGE;
        }
        String query = mMonth == null ? "" : "?month=" + mMonth;
        return show(environment, "/v1/usage" + query, this::statement);
    }

    private String statement(ControlResponse response) {
        if (mHtml) {
            return UsageHtml.statement(response.json());
        }
        return mCsv ? UsageCsv.statement(response.json()) : UsageText.statement(response.json());
    }

    private String forecast(ControlResponse response) {
        if (mHtml) {
            return UsageHtml.forecast(response.json());
        }
        return mCsv ? UsageCsv.forecast(response.json()) : UsageText.forecast(response.json());
    }
}
