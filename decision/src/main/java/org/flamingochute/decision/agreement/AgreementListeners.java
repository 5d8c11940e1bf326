package org.flamingochute.decision.agreement;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.LogRecord;

/** Forwards each event to all listeners, in the order in which they were added. */
final class AgreementListeners implements AgreementListener {

  private final List<AgreementListener> listeners = new CopyOnWriteArrayList<>();

  void add(AgreementListener listener) {
    listeners.add(listener);
  }

  @Override
  public void recordApplied(long offset, LogRecord record, ApplyResult result) {
    listeners.forEach(listener -> listener.recordApplied(offset, record, result));
  }

  @Override
  public void descriptionChanged(FleetDescription before, FleetDescription after) {
    listeners.forEach(listener -> listener.descriptionChanged(before, after));
  }

  @Override
  public void escrowEpochOpened(TeamId team, long epoch, boolean suspended) {
    listeners.forEach(listener -> listener.escrowEpochOpened(team, epoch, suspended));
  }

  @Override
  public void holdingStated(TeamId team, long epoch, Incarnation member, int tokens) {
    listeners.forEach(listener -> listener.holdingStated(team, epoch, member, tokens));
  }

  @Override
  public void escrowEpochClosed(TeamId team, long epoch) {
    listeners.forEach(listener -> listener.escrowEpochClosed(team, epoch));
  }

  @Override
  public void tokensIssued(TeamId team, long epoch, Map<Incarnation, Integer> tokens) {
    listeners.forEach(listener -> listener.tokensIssued(team, epoch, tokens));
  }

  @Override
  public void memberJoined(Incarnation incarnation) {
    listeners.forEach(listener -> listener.memberJoined(incarnation));
  }

  @Override
  public void memberRemoved(Incarnation incarnation) {
    listeners.forEach(listener -> listener.memberRemoved(incarnation));
  }

  @Override
  public void stateReplaced() {
    listeners.forEach(AgreementListener::stateReplaced);
  }
}
