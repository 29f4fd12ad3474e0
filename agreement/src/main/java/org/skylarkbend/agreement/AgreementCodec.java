package org.skylarkbend.agreement;

import java.util.Optional;
import org.skylarkbend.agreement.AgreementMessage.Announcement;
import org.skylarkbend.agreement.AgreementMessage.AppendRequest;
import org.skylarkbend.agreement.AgreementMessage.AppendResponse;
import org.skylarkbend.agreement.AgreementMessage.DiskCheckRequest;
import org.skylarkbend.agreement.AgreementMessage.DiskCheckResponse;
import org.skylarkbend.agreement.AgreementMessage.LeaveRequest;
import org.skylarkbend.agreement.AgreementMessage.LeaveResponse;
import org.skylarkbend.agreement.AgreementMessage.PreVoteRequest;
import org.skylarkbend.agreement.AgreementMessage.PreVoteResponse;
import org.skylarkbend.agreement.AgreementMessage.SnapshotChunk;
import org.skylarkbend.agreement.AgreementMessage.SnapshotResponse;
import org.skylarkbend.agreement.AgreementMessage.VoteRequest;
import org.skylarkbend.agreement.AgreementMessage.VoteResponse;
import org.skylarkbend.base.Result;
import org.skylarkbend.wire.MessageCodec;
import org.skylarkbend.wire.MessageReader;
import org.skylarkbend.wire.MessageWriter;

/** Encodes and decodes {@link Envelope} for the wire. */
public final class AgreementCodec implements MessageCodec<Envelope> {
    private static final int PRE_VOTE_REQUEST = 1;
    private static final int PRE_VOTE_RESPONSE = 2;
    private static final int VOTE_REQUEST = 3;
    private static final int VOTE_RESPONSE = 4;
    private static final int APPEND_REQUEST = 5;
    private static final int APPEND_RESPONSE = 6;
    private static final int SNAPSHOT_CHUNK = 7;
    private static final int SNAPSHOT_RESPONSE = 8;
    private static final int ANNOUNCEMENT = 9;
    private static final int DISK_CHECK_REQUEST = 10;
    private static final int DISK_CHECK_RESPONSE = 11;
    private static final int LEAVE_REQUEST = 12;
    private static final int LEAVE_RESPONSE = 13;

    @Override
    public byte[] encode(Envelope envelope) {
        AgreementMessage message = envelope.message();
        if (message instanceof AppendRequest request) {
            return encodeAppend(startMessage(APPEND_REQUEST, envelope), request);
        }
        if (message instanceof AppendResponse response) {
            return startMessage(APPEND_RESPONSE, envelope)
                    .number(response.round())
                    .flag(response.matches())
                    .number(response.matchIndex())
                    .toBytes();
        }
        if (message instanceof SnapshotChunk chunk) {
            return chunk(startMessage(SNAPSHOT_CHUNK, envelope), chunk);
        }
        if (message instanceof SnapshotResponse response) {
            return startMessage(SNAPSHOT_RESPONSE, envelope)
                    .number(response.round())
                    .number(response.index())
                    .number(response.nextOffsetBytes())
                    .toBytes();
        }
        if (message instanceof Announcement announcement) {
            MessageWriter writer =
                    startMessage(ANNOUNCEMENT, envelope)
                            .flag(announcement.uninitialized())
                            .flag(announcement.ofFirstStart());
            EntryEncoding.write(writer, announcement.knownBootstrapMember());
            return writer.toBytes();
        }
        return encodeNotice(envelope);
    }

    @Override
    public Result<Envelope> decode(byte[] payload) {
        return MessageReader.decode(payload, AgreementCodec::read);
    }

    private static byte[] encodeNotice(Envelope envelope) {
        AgreementMessage message = envelope.message();
        if (message instanceof DiskCheckRequest request) {
            return startMessage(DISK_CHECK_REQUEST, envelope)
                    .number(request.failure())
                    .number(request.sizeBytes())
                    .toBytes();
        }
        if (message instanceof DiskCheckResponse response) {
            return startMessage(DISK_CHECK_RESPONSE, envelope).number(response.failure()).toBytes();
        }
        if (message instanceof LeaveRequest) {
            return startMessage(LEAVE_REQUEST, envelope).toBytes();
        }
        if (message instanceof LeaveResponse response) {
            return startMessage(LEAVE_RESPONSE, envelope).flag(response.removed()).toBytes();
        }
        return encodeElection(envelope);
    }

    private static byte[] encodeElection(Envelope envelope) {
        AgreementMessage message = envelope.message();
        if (message instanceof PreVoteRequest request) {
            return startMessage(PRE_VOTE_REQUEST, envelope)
                    .number(request.lastIndex())
                    .number(request.lastTerm())
                    .toBytes();
        }
        if (message instanceof PreVoteResponse response) {
            return startMessage(PRE_VOTE_RESPONSE, envelope).flag(response.granted()).toBytes();
        }
        if (message instanceof VoteRequest request) {
            return startMessage(VOTE_REQUEST, envelope)
                    .number(request.lastIndex())
                    .number(request.lastTerm())
                    .toBytes();
        }
        VoteResponse response = (VoteResponse) message;
        return startMessage(VOTE_RESPONSE, envelope)
                .flag(response.granted())
                .number(response.leaderlessMilliseconds())
                .toBytes();
    }

    private static MessageWriter startMessage(int type, Envelope envelope) {
        MessageWriter writer = new MessageWriter(type);
        EntryEncoding.write(writer, envelope.from());
        EntryEncoding.write(writer, envelope.to());
        return writer.number(envelope.message().term());
    }

    private static byte[] encodeAppend(MessageWriter writer, AppendRequest request) {
        return writer.number(request.round())
                .number(request.previousIndex())
                .number(request.previousTerm())
                .number(request.commitIndex())
                .list(request.entries(), EntryEncoding::write)
                .toBytes();
    }

    private static byte[] chunk(MessageWriter writer, SnapshotChunk chunk) {
        writer.number(chunk.round()).number(chunk.index()).number(chunk.indexTerm());
        EntryEncoding.write(writer, chunk.membership());
        return writer.number(chunk.offsetBytes()).bytes(chunk.data()).flag(chunk.last()).toBytes();
    }

    private static Envelope read(MessageReader reader) {
        int type = reader.type();
        MemberId from = EntryEncoding.readMember(reader);
        Optional<MemberId> to = EntryEncoding.readOptionalMember(reader);
        long term = reader.number();
        return new Envelope(from, to, readMessage(type, term, reader));
    }

    private static AgreementMessage readMessage(int type, long term, MessageReader reader) {
        return switch (type) {
            case PRE_VOTE_REQUEST -> new PreVoteRequest(term, reader.number(), reader.number());
            case PRE_VOTE_RESPONSE -> new PreVoteResponse(term, reader.flag());
            case VOTE_REQUEST -> new VoteRequest(term, reader.number(), reader.number());
            case VOTE_RESPONSE -> new VoteResponse(term, reader.flag(), reader.number());
            case APPEND_REQUEST ->
                    new AppendRequest(
                            term,
                            reader.number(),
                            reader.number(),
                            reader.number(),
                            reader.number(),
                            reader.list(EntryEncoding::readEntry));
            case APPEND_RESPONSE ->
                    new AppendResponse(term, reader.number(), reader.flag(), reader.number());
            case SNAPSHOT_CHUNK -> readChunk(term, reader);
            case SNAPSHOT_RESPONSE ->
                    new SnapshotResponse(
                            term, reader.number(), reader.number(), (int) reader.number());
            case ANNOUNCEMENT ->
                    new Announcement(
                            reader.flag(), reader.flag(), EntryEncoding.readOptionalMember(reader));
            case DISK_CHECK_REQUEST -> new DiskCheckRequest(term, reader.number(), reader.number());
            case DISK_CHECK_RESPONSE -> new DiskCheckResponse(term, reader.number());
            case LEAVE_REQUEST -> new LeaveRequest();
            case LEAVE_RESPONSE -> new LeaveResponse(reader.flag());
            default -> MessageReader.unknownType(type);
        };
    }

    private static SnapshotChunk readChunk(long term, MessageReader reader) {
        return new SnapshotChunk(
                term,
                reader.number(),
                reader.number(),
                reader.number(),
                EntryEncoding.readMembership(reader),
                (int) reader.number(),
                reader.bytes(),
                reader.flag());
    }
}
