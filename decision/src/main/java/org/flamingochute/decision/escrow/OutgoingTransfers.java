package org.flamingochute.decision.escrow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.schema.TokenTransfer;

/** Numbers the transfers to each receiver from 1 and keeps those that are not acknowledged. */
final class OutgoingTransfers {

  private final Map<Incarnation, Receiver> receivers = new HashMap<>();

  /** Gives the transfer its number; it is kept until it is acknowledged. */
  synchronized OutgoingTransfer add(Incarnation receiver, TokenTransfer unnumbered) {
    Receiver entry = receivers.computeIfAbsent(receiver, absent -> new Receiver());
    TokenTransfer transfer = unnumbered.toBuilder().setSequence(++entry.lastSequence).build();
    entry.unacknowledged.put(transfer.getSequence(), transfer);
    return new OutgoingTransfer(receiver, transfer);
  }

  synchronized void acknowledged(Incarnation receiver, long sequence) {
    Receiver entry = receivers.get(receiver);
    if (entry != null) {
      entry.unacknowledged.remove(sequence);
    }
  }

  synchronized void forget(Incarnation receiver) {
    receivers.remove(receiver);
  }

  /** Forgets the receivers that do not match; their tokens are lost until the next epoch. */
  synchronized void retain(Predicate<Incarnation> isMember) {
    receivers.keySet().removeIf(isMember.negate());
  }

  /** Returns what is to be sent again, each receiver's in the order of numbers. */
  synchronized List<OutgoingTransfer> unacknowledged() {
    List<OutgoingTransfer> transfers = new ArrayList<>();
    receivers.forEach(
        (receiver, entry) ->
            entry.unacknowledged.values().stream()
                .map(transfer -> new OutgoingTransfer(receiver, transfer))
                .forEach(transfers::add));
    return transfers;
  }

  private static final class Receiver {
    private final Map<Long, TokenTransfer> unacknowledged = new TreeMap<>();
    private long lastSequence;
  }
}
