package org.skylarkbend.router;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.Utf8;

/**
 * Incremental parser of server-sent events. Comments and fields other than id and data are ignored.
 * An incomplete event at the end of the stream is discarded.
 */
public final class SseParser {
    private static final String ID_FIELD = "id:";
    private static final String DATA_FIELD = "data:";

    private final int mMaxEventBytes;
    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream();
    private final StringBuilder mData = new StringBuilder();
    private String mId = "";
    private boolean mHasData;

    /** Creates a parser with a maximum event size. */
    public SseParser(int maxEventBytes) {
        mMaxEventBytes = maxEventBytes;
    }

    /**
     * Parses the next bytes and returns the events completed by them. Fails if an event exceeds the
     * maximum size or is no UTF-8.
     */
    public Result<List<SseEvent>> feed(byte[] chunk) {
        List<SseEvent> events = new ArrayList<>();
        for (byte next : chunk) {
            if (next == '\n') {
                Result<String> line = Utf8.decode(mLine.toByteArray(), ErrorKind.ENDPOINT_FAILED);
                if (!line.isSuccess()) {
                    return line.map(ignored -> List.of());
                }
                line.match(text -> endLine(text, events), error -> {});
            } else if (next != '\r') {
                mLine.write(next);
            }
            if (mLine.size() + mData.length() > mMaxEventBytes) {
                return Result.failure(ErrorKind.ENDPOINT_FAILED, "a stream event is too large");
            }
        }
        return Result.success(List.copyOf(events));
    }

    private void endLine(String line, List<SseEvent> events) {
        mLine.reset();
        if (line.isEmpty()) {
            endEvent(events);
        } else if (line.startsWith(ID_FIELD)) {
            mId = line.substring(ID_FIELD.length()).trim();
        } else if (line.startsWith(DATA_FIELD)) {
            addData(line.substring(DATA_FIELD.length()));
        }
    }

    private void addData(String value) {
        if (mHasData) {
            mData.append('\n');
        }
        mData.append(value.startsWith(" ") ? value.substring(1) : value);
        mHasData = true;
    }

    private void endEvent(List<SseEvent> events) {
        if (mHasData) {
            events.add(new SseEvent(mId, mData.toString()));
        }
        mId = "";
        mData.setLength(0);
        mHasData = false;
    }
}
