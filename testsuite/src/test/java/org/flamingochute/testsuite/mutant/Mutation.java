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
import org.flamingochute.decision.agreement.FoldResult;
import org.flamingochute.decision.identity.TeamId;

/**
 * Replaces the body of one method while a scenario runs.
 *
 * @param className full name of the class
 * @param methodName name of the method; all its overloads are replaced
 * @param replacement what the method does instead: {@code true}, {@code false}, {@code zero},
 *     {@code nothing}, {@code empty}, {@code accepted} or {@code captains}
 */
public record Mutation(String className, String methodName, String replacement) {

  private static final String PACKAGE = "org.flamingochute.";

  /**
   * Reads a mutation written {@code package.Class#method=replacement}, without the base package.
   */
  static Mutation parse(String text) {
    String[] parts = text.trim().split("[#=]");
    if (parts.length != 3) {
      throw new IllegalArgumentException("not a mutation: \"" + text + "\"");
    }
    return new Mutation(PACKAGE + parts[0], parts[1], parts[2]);
  }

  /** Puts the replacement in force. */
  void apply() {
    Class<?> target = target();
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

  /** Brings the method back. */
  void revert() {
    try {
      ClassReloadingStrategy.fromInstalledAgent().reset(target());
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
  }

  private Class<?> target() {
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

  /** Replacement that returns an empty optional. */
  public static final class EmptyOptional {

    private EmptyOptional() {}

    /** Returns nothing. */
    public static Optional<Object> value() {
      return Optional.empty();
    }
  }

  /** Replacement by which the fold takes a record without looking at it. */
  public static final class AcceptedResult {

    private AcceptedResult() {}

    /** Returns the result. */
    public static FoldResult value() {
      return new FoldResult.Accepted();
    }
  }

  /** Replacement by which any key belongs to one team. */
  public static final class CaptainsTeam {

    private CaptainsTeam() {}

    /** Returns the team. */
    public static Optional<TeamId> value() {
      return Optional.of(new TeamId("captains"));
    }
  }
}
