package org.flamingochute.decision.escrow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.schema.TokenTransfer;
import org.flamingochute.schema.TokenTransferAcknowledged;

/** Carries transfers and their acknowledgements between members: late, twice, or not at all. */
final class TransferNetwork {
  private static final int FRAMES_A_STEP = 4;

  /** One frame in so many is delivered twice, and one in so many is lost. */
  private static final int FAULT_SHARE = 5;

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

  /** Delivers some frames in any order, with faults. */
  void deliver() {
    for (int i = 0; i < FRAMES_A_STEP && !frames.isEmpty(); i++) {
      int index = random.nextInt(frames.size());
      Frame frame = random.nextInt(FAULT_SHARE) == 0 ? frames.get(index) : frames.remove(index);
      boolean isLost = random.nextInt(FAULT_SHARE) == 0;
      if (!isLost) {
        arrive(frame);
      }
    }
  }

  /** Delivers every frame that is under way now. */
  void deliverAll() {
    List<Frame> underWay = List.copyOf(frames);
    frames.clear();
    underWay.forEach(this::arrive);
  }

  private void arrive(Frame frame) {
    Optional<SimulatedMember> receiver =
        members.stream()
            .filter(member -> member.incarnation.equals(frame.receiver()))
            .filter(SimulatedMember::isActive)
            .findFirst();
    if (receiver.isEmpty()) {
      return;
    }
    if (frame.acknowledgement() != null) {
      receiver.get().ledger.acknowledged(frame.sender().incarnation, frame.acknowledgement());
      return;
    }
    receiver
        .get()
        .ledger
        .receive(frame.sender().incarnation, frame.transfer())
        .ifPresent(
            answer ->
                frames.add(new Frame(receiver.get(), frame.sender().incarnation, null, answer)));
  }
}
