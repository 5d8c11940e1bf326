package org.flamingochute.testsuite.mutant;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Method;
import java.util.Optional;
import net.bytebuddy.ByteBuddy;
import net.bytebuddy.dynamic.loading.ClassReloadingStrategy;
import net.bytebuddy.implementation.FixedValue;
import net.bytebuddy.implementation.Implementation;
import net.bytebuddy.implementation.MethodDelegation;
import net.bytebuddy.implementation.StubMethod;
import net.bytebuddy.matcher.ElementMatchers;
import org.flamingochute.decision.agreement.ApplyResult;
import org.flamingochute.decision.identity.TeamId;

/**
 * Replaces the body of a method until it is reverted.
 *
 * @param className fully qualified name of the class
 * @param methodName name of the method; all its overloads are replaced
 * @param replacement the result or behaviour of the replaced method: {@code true}, {@code false},
 *     {@code zero}, {@code nothing}, {@code empty}, {@code accepted} or {@code captains}
 */
public record Mutation(String className, String methodName, String replacement) {

  private static final String BASE_PACKAGE = "org.flamingochute.";

  /**
   * Parses a mutation of the form {@code package.Class#method=replacement}, where the package is
   * relative to {@code org.flamingochute}.
   */
  static Mutation parse(String text) {
    String[] parts = text.trim().split("[#=]");
    if (parts.length != 3) {
      throw new IllegalArgumentException("invalid mutation: \"" + text + "\"");
    }
    return new Mutation(BASE_PACKAGE + parts[0], parts[1], parts[2]);
  }

  /** Applies the replacement. */
  void apply() {
    Class<?> target = targetClass();
    boolean found = false;
    for (Method method : target.getDeclaredMethods()) {
      found = found || method.getName().equals(methodName);
    }
    if (!found) {
      throw new IllegalArgumentException("no method " + methodName + " in " + className);
    }
    new ByteBuddy()
        .redefine(target)
        .method(ElementMatchers.named(methodName))
        .intercept(implementation())
        .make()
        .load(target.getClassLoader(), ClassReloadingStrategy.fromInstalledAgent());
  }

  /** Restores the original method. */
  void revert() {
    try {
      ClassReloadingStrategy.fromInstalledAgent().reset(targetClass());
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
  }

  private Class<?> targetClass() {
    try {
      return Class.forName(className);
    } catch (ClassNotFoundException exception) {
      throw new IllegalArgumentException("no class " + className, exception);
    }
  }

  private Implementation implementation() {
    return switch (replacement) {
      case "true" -> FixedValue.value(true);
      case "false" -> FixedValue.value(false);
      case "zero" -> FixedValue.value(0);
      case "nothing" -> StubMethod.INSTANCE;
      case "empty" -> MethodDelegation.to(EmptyOptional.class);
      case "accepted" -> MethodDelegation.to(AcceptedResult.class);
      case "captains" -> MethodDelegation.to(CaptainsTeam.class);
      default -> throw new IllegalArgumentException("unknown replacement \"" + replacement + "\"");
    };
  }

  /** Replacement for a method that returns an {@link Optional}. */
  public static final class EmptyOptional {

    private EmptyOptional() {}

    /** Returns an empty optional. */
    public static Optional<Object> value() {
      return Optional.empty();
    }
  }

  /** Replacement that accepts a log record without validation. */
  public static final class AcceptedResult {

    private AcceptedResult() {}

    /** Returns the accepted result. */
    public static ApplyResult value() {
      return new ApplyResult.Accepted();
    }
  }

  /** Replacement that assigns every key to the same team. */
  public static final class CaptainsTeam {

    private CaptainsTeam() {}

    /** Returns the team. */
    public static Optional<TeamId> value() {
      return Optional.of(new TeamId("captains"));
    }
  }
}
