package org.flamingochute.decision.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.identity.KeyId;
import org.flamingochute.decision.identity.OperatorId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.schema.FleetDescription;
import org.flamingochute.schema.KeySection;
import org.flamingochute.schema.OperatorSection;

/**
 * Finds whose key was presented, at one version of the description.
 *
 * <p>The directory is immutable; a new one is made when the description changes, so a withdrawn key
 * is gone from the moment the patch is folded. Keys are found by their digest. The time of that
 * search depends on the digest alone, which tells nothing about the key; the final comparison takes
 * constant time.
 */
public final class KeyDirectory {

  private final Map<String, GrantedKey> keysByDigest = new HashMap<>();
  private final Map<OperatorId, OperatorSection> operators = new HashMap<>();

  /** Creates the directory of a description. */
  public KeyDirectory(FleetDescription description) {
    description.getKeysMap().forEach(this::addKey);
    description
        .getOperatorsMap()
        .forEach((name, operator) -> operators.put(new OperatorId(name), operator));
  }

  private void addKey(String name, KeySection key) {
    keysByDigest.put(
        key.getDigest(), new GrantedKey(new KeyId(name), new TeamId(key.getTeam()), key));
  }

  /** Returns the team that a presented key is granted to. */
  public Optional<TeamId> team(String presentedKey) {
    return find(presentedKey).map(GrantedKey::team);
  }

  /** Returns the name of a presented key. */
  public Optional<KeyId> keyId(String presentedKey) {
    return find(presentedKey).map(GrantedKey::id);
  }

  /** Tells whether the key belongs to the operator. */
  public boolean isOperator(OperatorId operator, String presentedKey) {
    OperatorSection section = operators.get(operator);
    if (section == null) {
      return false;
    }
    return new KeyDigest(section.getDigest()).matches(KeyDigest.of(presentedKey));
  }

  /** Tells whether the key belongs to the operator and the operator may patch the description. */
  public boolean mayPatch(OperatorId operator, String presentedKey) {
    return isOperator(operator, presentedKey)
        && operators.get(operator).getRights().equals(OperatorRights.PATCH);
  }

  private Optional<GrantedKey> find(String presentedKey) {
    KeyDigest presented = KeyDigest.of(presentedKey);
    GrantedKey granted = keysByDigest.get(presented.text());
    if (granted == null) {
      return Optional.empty();
    }
    if (!new KeyDigest(granted.section().getDigest()).matches(presented)) {
      return Optional.empty();
    }
    return Optional.of(granted);
  }

  private record GrantedKey(KeyId id, TeamId team, KeySection section) {}
}
