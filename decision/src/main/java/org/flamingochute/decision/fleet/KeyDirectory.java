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
 * Looks up the owner of a presented key in one version of the description.
 *
 * <p>The directory is immutable; a new one is created when the description changes, so a revoked
 * key is no longer found once the patch that removes it is applied. Keys are looked up by their
 * digest. The duration of the lookup depends only on the digest, which reveals nothing about the
 * key; the final comparison takes constant time.
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

  /** Returns the team to which a presented key is granted. */
  public Optional<TeamId> team(String presentedKey) {
    return findKey(presentedKey).map(GrantedKey::team);
  }

  /** Returns the id of a presented key. */
  public Optional<KeyId> keyId(String presentedKey) {
    return findKey(presentedKey).map(GrantedKey::id);
  }

  /** Returns whether the key belongs to the operator. */
  public boolean isOperator(OperatorId operator, String presentedKey) {
    OperatorSection section = operators.get(operator);
    if (section == null) {
      return false;
    }
    return new KeyDigest(section.getDigest()).matches(KeyDigest.of(presentedKey));
  }

  /** Returns whether the key belongs to the operator and the operator may patch. */
  public boolean mayPatch(OperatorId operator, String presentedKey) {
    return isOperator(operator, presentedKey)
        && operators.get(operator).getRights().equals(OperatorRights.PATCH);
  }

  private Optional<GrantedKey> findKey(String presentedKey) {
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
