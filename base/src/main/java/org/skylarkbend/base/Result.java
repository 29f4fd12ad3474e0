package org.skylarkbend.base;

import java.util.function.Consumer;
import java.util.function.Function;

/**
 * The outcome of an operation: a {@link Success} with a value or a {@link Failure} with an error.
 *
 * @param <T> the type of the value
 */
public sealed interface Result<T> {
    /** The operation succeeded. */
    record Success<T>(T value) implements Result<T> {}

    /** The operation failed. */
    record Failure<T>(SkylarkError error) implements Result<T> {}

    /** Returns a success with this value. */
    static <T> Result<T> success(T value) {
        return new Success<>(value);
    }

    /** Returns a failure of this kind. */
    static <T> Result<T> failure(ErrorKind kind, String detail) {
        return new Failure<>(new SkylarkError(kind, detail));
    }

    /** Returns a failure with this error. */
    static <T> Result<T> failure(SkylarkError error) {
        return new Failure<>(error);
    }

    /** Returns the result of the function that matches the outcome. */
    default <R> R fold(Function<T, R> onSuccess, Function<SkylarkError, R> onFailure) {
        if (this instanceof Success<T> success) {
            return onSuccess.apply(success.value());
        }
        return onFailure.apply(((Failure<T>) this).error());
    }

    /** Runs the consumer that matches the outcome. */
    default void match(Consumer<T> onSuccess, Consumer<SkylarkError> onFailure) {
        if (this instanceof Success<T> success) {
            onSuccess.accept(success.value());
        } else {
            onFailure.accept(((Failure<T>) this).error());
        }
    }

    /** Applies the function to the value of a success; returns a failure unchanged. */
    default <R> Result<R> map(Function<T, R> function) {
        return fold(value -> success(function.apply(value)), Result::failure);
    }

    /** Runs another operation on the value of a success; returns a failure unchanged. */
    default <R> Result<R> flatMap(Function<T, Result<R>> function) {
        return fold(function, Result::failure);
    }

    /** Returns whether this is a success. */
    default boolean isSuccess() {
        return this instanceof Success<T>;
    }
}
