package org.skylarkbend.agreement;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import org.skylarkbend.agreement.AgreementEffect.Persist;
import org.skylarkbend.agreement.AgreementEffect.SaveSnapshot;
import org.skylarkbend.base.Result;

/** The disk of a simulated member whose data are in real files. */
final class FileDisk implements MemberDisk {
    private final MemberId mIdentity;
    private final boolean mIsOfFirstStart;
    private final Path mFolder;
    private final FileOperations mOperations;
    private final Deque<AgreementEffect> mUnsynced = new ArrayDeque<>();
    private AgreementStorage mStorage;

    FileDisk(MemberId identity, boolean isOfFirstStart, Path folder, FileOperations operations) {
        mIdentity = identity;
        mIsOfFirstStart = isOfFirstStart;
        mFolder = folder;
        mOperations = operations;
        mStorage = open();
    }

    @Override
    public MemberId identity() {
        return mIdentity;
    }

    @Override
    public void add(AgreementEffect write) {
        mUnsynced.add(write);
    }

    @Override
    public boolean hasUnsynced() {
        return !mUnsynced.isEmpty();
    }

    @Override
    public Result<Long> syncNext() {
        if (mUnsynced.peek() instanceof SaveSnapshot save) {
            mUnsynced.poll();
            return mStorage.save(save);
        }
        List<Persist> persists = new ArrayList<>();
        while (mUnsynced.peek() instanceof Persist persist) {
            mUnsynced.poll();
            persists.add(persist);
        }
        return mStorage.persist(persists);
    }

    @Override
    public boolean hasRoom(long sizeBytes) {
        return mStorage.check(sizeBytes).isSuccess();
    }

    @Override
    public void failAll(boolean mayComeBack) {
        mUnsynced.clear();
    }

    @Override
    public void crash(SplittableRandom random) {
        mUnsynced.clear();
        try {
            mStorage.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        mStorage = open();
    }

    @Override
    public DurableState recovered() {
        return mStorage.recovered();
    }

    private AgreementStorage open() {
        return AgreementStorage.open(
                        mFolder, mIdentity.vm(), mIdentity::number, mOperations, mIsOfFirstStart)
                .fold(
                        opened -> opened,
                        error -> {
                            throw new AssertionError(error.detail());
                        });
    }
}
