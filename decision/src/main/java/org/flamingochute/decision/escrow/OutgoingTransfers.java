package org.flamingochute.decision.escrow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.schema.TokenTransfer;

/** The unacknowledged transfers to each receiver, with sequence numbers that start at 1. */
final class OutgoingTransfers {

  private final Map<Incarnation, ReceiverState> receivers = new HashMap<>();

  /** Assigns the next sequence number and stores the transfer until it is acknowledged. */
  synchronized OutgoingTransfer add(Incarnation receiver, TokenTransfer unnumbered) {
    ReceiverState state = receivers.computeIfAbsent(receiver, absent -> new ReceiverState());
    TokenTransfer transfer = unnumbered.toBuilder().setSequence(++state.lastSequence).build();
    state.unacknowledged.put(transfer.getSequence(), transfer);
    return new OutgoingTransfer(receiver, transfer);
  }

  synchronized void removeAcknowledged(Incarnation receiver, long sequence) {
    ReceiverState state = receivers.get(receiver);
    if (state != null) {
      state.unacknowledged.remove(sequence);
    }
  }

  synchronized void removeReceiver(Incarnation receiver) {
    receivers.remove(receiver);
  }

  /**
   * Removes the receivers that are not members, with their transfers; these tokens are lost until
   * the next epoch.
   */
  synchronized void retainReceivers(Predicate<Incarnation> isMember) {
    receivers.keySet().removeIf(isMember.negate());
  }

  /** Returns the transfers to send again, those of each receiver in sequence order. */
  synchronized List<OutgoingTransfer> unacknowledged() {
    List<OutgoingTransfer> transfers = new ArrayList<>();
    receivers.forEach(
        (receiver, state) ->
            state.unacknowledged.values().stream()
                .map(transfer -> new OutgoingTransfer(receiver, transfer))
                .forEach(transfers::add));
    return transfers;
  }

  private static final class ReceiverState {
    private final Map<Long, TokenTransfer> unacknowledged = new TreeMap<>();
    private long lastSequence;
  }
}
