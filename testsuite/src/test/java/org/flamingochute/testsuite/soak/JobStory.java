package org.flamingochute.testsuite.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

/** A job and every call that its caller made for it. */
final class JobStory {
  /** Status of a call whose connection was refused: the node received nothing. */
  static final int NOT_SENT = -1;

  /** Status of a call without a response. */
  static final int NO_RESPONSE = 0;

  static final int OK = 200;
  static final int GONE = 410;
  static final int TOO_MANY = 429;

  private final String job;
  private final String queue;
  private final SoakSpec spec;
  private final List<Integer> stepSizes;
  private final Set<Integer> stepsWithCopies;
  private final List<Call> calls = new ArrayList<>();

  /**
   * A call of the caller.
   *
   * @param method HTTP method
   * @param node the node
   * @param sentAt time of the call in milliseconds since the epoch
   * @param answeredAt time of the response or of the failure
   * @param status HTTP status, or one of the constants above
   * @param body body of the response, or the failure
   */
  record Call(String method, String node, long sentAt, long answeredAt, int status, String body) {}

  JobStory(
      String job,
      String queue,
      SoakSpec spec,
      List<Integer> stepSizes,
      Set<Integer> stepsWithCopies) {
    this.job = job;
    this.queue = queue;
    this.spec = spec;
    this.stepSizes = List.copyOf(stepSizes);
    this.stepsWithCopies = Set.copyOf(stepsWithCopies);
  }

  String job() {
    return job;
  }

  String queue() {
    return queue;
  }

  SoakSpec spec() {
    return spec;
  }

  List<Integer> stepSizes() {
    return stepSizes;
  }

  /** Returns whether a task of the step may have a copy. */
  boolean allowsCopies(int step) {
    return stepsWithCopies.contains(step);
  }

  int taskCount() {
    return stepSizes.stream().mapToInt(Integer::intValue).sum();
  }

  synchronized void add(Call call) {
    calls.add(call);
  }

  synchronized List<Call> calls() {
    return List.copyOf(calls);
  }

  synchronized List<Call> callsOf(String method) {
    return calls.stream().filter(call -> call.method().equals(method)).toList();
  }

  boolean isAccepted() {
    return callsOf("POST").stream().anyMatch(call -> call.status() == OK);
  }

  /** Returns whether every call that reached a node was refused, and at least one did. */
  boolean isRefusedEverywhere() {
    List<Call> sent = callsOf("POST").stream().filter(call -> call.status() != NOT_SENT).toList();
    return !sent.isEmpty()
        && sent.stream().allMatch(call -> call.status() == TOO_MANY || call.status() == 503);
  }

  boolean isEverShed() {
    return callsOf("POST").stream().anyMatch(call -> call.status() == TOO_MANY);
  }

  boolean isCancelSent() {
    return !callsOf("DELETE").isEmpty();
  }

  /** Returns when a node first acknowledged the cancel, if one did. */
  OptionalLong cancelAcknowledgedAt() {
    return callsOf("DELETE").stream()
        .filter(call -> call.status() == OK)
        .mapToLong(Call::answeredAt)
        .min();
  }

  /** Returns the state of the last response that tells one, or an empty string. */
  String lastState() {
    String state = "";
    for (Call call : callsOf("GET")) {
      if (call.status() == OK) {
        state = call.body();
      }
    }
    return state;
  }

  boolean isEnded() {
    String state = lastState();
    return state.contains("completed") || state.contains("failed") || state.contains("cancelled");
  }
}
