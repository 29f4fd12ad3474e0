package org.skylarkbend.ctl;

import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.spi.Setter;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;

/** Parses a subcommand, in whose arguments {@code -} is no option but the standard input. */
public final class CommandHandler extends SubCommandHandler {
    /** Creates the handler; called by args4j. */
    public CommandHandler(CmdLineParser parser, OptionDef option, Setter<Object> setter) {
        super(parser, option, setter);
    }

    @Override
    protected CmdLineParser configureParser(Object subCommand, SubCommand name) {
        return new CmdLineParser(subCommand) {
            @Override
            protected boolean isOption(String argument) {
                return super.isOption(argument) && !argument.equals("-");
            }
        };
    }
}
