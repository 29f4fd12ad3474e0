package org.skylarkbend.replay.trace;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.placement.BlockHashes;
import org.skylarkbend.placement.PrefixChain;

/** Reads a trace line by line. Reading stops at the first invalid line, which the error names. */
public final class TraceReader {
    private static final long MAX_NUMBER = 1_000_000_000_000L;
    private static final int MAX_ROUTERS = 1_000;
    private static final int MAX_PRIORITY = 9;

    private final List<TraceEndpoint> mEndpoints = new ArrayList<>();
    private final List<TraceCustomer> mCustomers = new ArrayList<>();
    private final List<TraceRoute> mRoutes = new ArrayList<>();
    private final List<TraceRequest> mRequests = new ArrayList<>();
    private final List<TraceFault> mFaults = new ArrayList<>();
    private long mPreviousRequestMilliseconds;
    private int mRouters = 1;

    private TraceReader() {}

    /** Reads a trace file. */
    public static Result<Trace> readFile(Path file) {
        try (BufferedReader lines = Files.newBufferedReader(file)) {
            return read(file.toString(), lines);
        } catch (MalformedInputException e) {
            return Result.failure(ErrorKind.BAD_REQUEST, file + ": not valid UTF-8");
        } catch (IOException e) {
            return Result.failure(ErrorKind.BAD_REQUEST, file + ": cannot be read: " + e);
        }
    }

    /** Reads a trace from lines. The name identifies the source in errors. */
    public static Result<Trace> read(String name, BufferedReader lines) throws IOException {
        TraceReader reader = new TraceReader();
        int number = 0;
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            number++;
            try {
                reader.readLine(number, line);
            } catch (IllegalArgumentException e) {
                return Result.failure(
                        ErrorKind.BAD_REQUEST, name + ":" + number + ": " + e.getMessage());
            }
        }
        if (number == 0) {
            return Result.failure(ErrorKind.BAD_REQUEST, name + ":1: the trace is empty");
        }
        return reader.finish(name, number);
    }

    private Result<Trace> finish(String name, int number) {
        if (mEndpoints.isEmpty() || mRequests.isEmpty()) {
            return Result.failure(
                    ErrorKind.BAD_REQUEST,
                    name + ":" + number + ": the trace ends without an endpoint or a request");
        }
        return Result.success(
                new Trace(mRouters, mEndpoints, mCustomers, mRoutes, mRequests, mFaults));
    }

    private void readLine(int number, String line) {
        if (number == 1) {
            require(line.equals(TraceWriter.HEADER), "expected \"" + TraceWriter.HEADER + "\"");
            return;
        }
        if (line.isBlank() || line.startsWith("#")) {
            return;
        }
        String[] fields = line.trim().split(" +");
        switch (fields[0]) {
            case "routers" ->
                    mRouters = (int) number(requireFieldCount(fields, 2), 1, 1, MAX_ROUTERS);
            case "endpoint" -> mEndpoints.add(endpoint(requireFieldCount(fields, 3)));
            case "customer" -> mCustomers.add(customer(requireFieldCount(fields, 4)));
            case "route" -> mRoutes.add(route(requireFieldCount(fields, 4)));
            case "fault" -> mFaults.add(fault(requireFieldCount(fields, 5)));
            case "request" -> mRequests.add(request(requireFieldCount(fields, 8)));
            default ->
                    throw new IllegalArgumentException("unknown line type \"" + fields[0] + "\"");
        }
    }

    private static TraceEndpoint endpoint(String[] fields) {
        return new TraceEndpoint(name(fields, 1), name(fields, 2));
    }

    private static TraceCustomer customer(String[] fields) {
        return new TraceCustomer(
                name(fields, 1),
                number(fields, 2, 1, MAX_NUMBER),
                number(fields, 3, 1, MAX_NUMBER));
    }

    private static TraceRoute route(String[] fields) {
        return new TraceRoute(
                name(fields, 1),
                (int) number(fields, 2, 0, MAX_PRIORITY),
                number(fields, 3, 1, MAX_NUMBER));
    }

    private TraceFault fault(String[] fields) {
        TraceFaultKind kind = faultKind(fields[2]);
        ObjectName target = name(fields, 3);
        require(
                kind != TraceFaultKind.CRASH
                        || mEndpoints.stream().anyMatch(e -> e.name().equals(target)),
                "no endpoint line for \"" + target + "\"");
        return new TraceFault(
                number(fields, 1, 0, MAX_NUMBER), kind, target, number(fields, 4, 0, MAX_NUMBER));
    }

    private static TraceFaultKind faultKind(String word) {
        return Arrays.stream(TraceFaultKind.values())
                .filter(kind -> kind.name().toLowerCase(Locale.ROOT).equals(word))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("unknown fault \"" + word + "\""));
    }

    private TraceRequest request(String[] fields) {
        long atMilliseconds = number(fields, 1, 0, MAX_NUMBER);
        require(
                atMilliseconds >= mPreviousRequestMilliseconds,
                "the time is earlier than that of the previous request");
        mPreviousRequestMilliseconds = atMilliseconds;
        ObjectName customer = name(fields, 2);
        ObjectName route = name(fields, 3);
        require(
                mCustomers.stream().anyMatch(c -> c.name().equals(customer)),
                "no customer line for \"" + customer + "\"");
        require(
                mRoutes.stream().anyMatch(r -> r.name().equals(route)),
                "no route line for \"" + route + "\"");
        return new TraceRequest(
                atMilliseconds,
                customer,
                route,
                chain(fields),
                number(fields, 6, 0, MAX_NUMBER),
                Optional.of(fields[7]).filter(outcome -> !outcome.equals(TraceWriter.ABSENT)));
    }

    private static PrefixChain chain(String[] fields) {
        List<String> hashes =
                fields[4].equals(TraceWriter.ABSENT) ? List.of() : List.of(fields[4].split(","));
        for (String hash : hashes) {
            require(hash.matches("[0-9a-f]{16}"), "\"" + hash + "\" is not a block hash");
        }
        long promptTokens = number(fields, 5, 0, MAX_NUMBER);
        require(
                promptTokens >= PrefixChain.tokensOf(hashes.size()),
                "the prompt is shorter than its " + hashes.size() + " blocks");
        return new PrefixChain(BlockHashes.ofHex(hashes), promptTokens);
    }

    private static String[] requireFieldCount(String[] fields, int count) {
        require(
                fields.length == count,
                fields[0] + " takes " + (count - 1) + " fields, not " + (fields.length - 1));
        return fields;
    }

    private static ObjectName name(String[] fields, int index) {
        return ObjectName.of(fields[index]);
    }

    private static long number(String[] fields, int index, long min, long max) {
        try {
            long value = Long.parseLong(fields[index]);
            require(
                    value >= min && value <= max,
                    value + " is not in the range " + min + ".." + max);
            return value;
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("\"" + fields[index] + "\" is not a number", e);
        }
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
