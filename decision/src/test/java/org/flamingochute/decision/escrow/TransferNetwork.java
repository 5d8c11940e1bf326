package org.flamingochute.decision.escrow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.schema.TokenTransfer;
import org.flamingochute.schema.TokenTransferAcknowledged;

/**
 * Delivers transfers and their acknowledgements between members; frames may be delayed, reordered,
 * duplicated or lost.
 */
final class TransferNetwork {
  private static final int FRAMES_PER_STEP = 4;

  /** On average one in this number of frames is duplicated, and one in this number is lost. */
  private static final int FAULT_INTERVAL = 5;

  private final UniformRandomProvider random;
  private final List<SimulatedMember> members;
  private final List<Frame> frames = new ArrayList<>();

  private record Frame(
      SimulatedMember sender,
      Incarnation receiver,
      TokenTransfer transfer,
      TokenTransferAcknowledged acknowledgement) {}

  TransferNetwork(UniformRandomProvider random, List<SimulatedMember> members) {
    this.random = random;
    this.members = members;
  }

  void send(SimulatedMember sender, OutgoingTransfer outgoing) {
    frames.add(new Frame(sender, outgoing.receiver(), outgoing.transfer(), null));
  }

  /** Delivers some frames in random order, with faults. */
  void deliver() {
    for (int i = 0; i < FRAMES_PER_STEP && !frames.isEmpty(); i++) {
      int index = random.nextInt(frames.size());
      Frame frame = random.nextInt(FAULT_INTERVAL) == 0 ? frames.get(index) : frames.remove(index);
      boolean isLost = random.nextInt(FAULT_INTERVAL) == 0;
      if (!isLost) {
        deliverFrame(frame);
      }
    }
  }

  /** Delivers all frames that are in transit, without faults. */
  void deliverAll() {
    List<Frame> inTransit = List.copyOf(frames);
    frames.clear();
    inTransit.forEach(this::deliverFrame);
  }

  private void deliverFrame(Frame frame) {
    Optional<SimulatedMember> receiver =
        members.stream()
            .filter(member -> member.incarnation.equals(frame.receiver()))
            .filter(SimulatedMember::isActive)
            .findFirst();
    if (receiver.isEmpty()) {
      return;
    }
    if (frame.acknowledgement() != null) {
      receiver
          .get()
          .ledger
          .handleAcknowledgement(frame.sender().incarnation, frame.acknowledgement());
      return;
    }
    receiver
        .get()
        .ledger
        .handleTransfer(frame.sender().incarnation, frame.transfer())
        .ifPresent(
            acknowledgement ->
                frames.add(
                    new Frame(receiver.get(), frame.sender().incarnation, null, acknowledgement)));
  }
}
